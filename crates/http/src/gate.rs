//! Owns the count of a server's connections, and which of them have no request open: those are the ones that make
//! room for others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use event_listener::{Event, EventListener};

#[derive(Default)]
struct Inner {
    open: usize,
    next: u64,
    /// Those without a request open, oldest first: first those that never sent one.
    fresh: BTreeMap<u64, Rc<Event>>,
    idle: BTreeMap<u64, Rc<Event>>,
    ending: bool,
    closing: bool,
}

/// The connections of a server.
pub struct Gate {
    most: usize,
    inner: RefCell<Inner>,
    freed: Event,
}

impl Gate {
    /// For so many connections at once.
    pub fn new(most: usize) -> Gate {
        Gate {
            most: most.max(1),
            inner: RefCell::default(),
            freed: Event::new(),
        }
    }

    /// Connections, and those of them that have a request open or are ending.
    pub fn counts(&self) -> (usize, usize) {
        let inner = self.inner.borrow();
        (
            inner.open,
            inner.open - inner.fresh.len() - inner.idle.len(),
        )
    }

    /// Whether all places are taken.
    pub(crate) fn is_full(&self) -> bool {
        self.inner.borrow().open >= self.most
    }

    /// Waits until one more may come; tells one without a request to go where all places are taken.
    pub(crate) async fn room(&self) {
        loop {
            let freed = self.freed.listen();
            if !self.is_full() {
                return;
            }
            self.make_room();
            freed.await;
        }
    }

    /// Tells one without a request to go.
    pub fn make_room(&self) {
        let mut inner = self.inner.borrow_mut();
        let one = inner.fresh.first_entry().map(|e| e.remove());
        let one = one.or_else(|| inner.idle.first_entry().map(|e| e.remove()));
        one.into_iter().for_each(|bell| _ = bell.notify(usize::MAX));
    }

    /// From now on each answer says that its connection ends behind it, so that no client sends into a close.
    /// Connections without a request may still send one.
    pub fn announce_end(&self) {
        self.inner.borrow_mut().ending = true;
    }

    /// Tells all without a request to go, now and later.
    pub fn close_idle(&self) {
        let mut inner = self.inner.borrow_mut();
        (inner.ending, inner.closing) = (true, true);
        let all = std::mem::take(&mut inner.fresh)
            .into_values()
            .chain(std::mem::take(&mut inner.idle).into_values());
        all.for_each(|bell| _ = bell.notify(usize::MAX));
    }

    pub(crate) fn enter(self: &Rc<Gate>) -> Seat {
        let mut inner = self.inner.borrow_mut();
        inner.open += 1;
        inner.next += 1;
        Seat {
            gate: self.clone(),
            key: Cell::new(inner.next),
            fresh: Cell::new(true),
            rests: Cell::new(false),
        }
    }
}

/// One connection's place; given back when dropped, also where its task is ended.
pub(crate) struct Seat {
    gate: Rc<Gate>,
    key: Cell<u64>,
    fresh: Cell<bool>,
    rests: Cell<bool>,
}

impl Seat {
    /// Whether no request has come over it.
    pub(crate) fn is_fresh(&self) -> bool {
        self.fresh.get()
    }

    /// Whether its next answer is to be its last.
    pub(crate) fn is_ending(&self) -> bool {
        self.gate.inner.borrow().ending
    }

    /// Whether it was told to go because the server ends, and not to make room.
    pub(crate) fn is_closing(&self) -> bool {
        self.gate.inner.borrow().closing
    }

    /// Whether it has no request open.
    pub(crate) fn rests(&self) -> bool {
        self.rests.get()
    }

    /// It has no request open; what it waits for means that it is to go.
    pub(crate) fn rest(&self) -> EventListener {
        let bell = Rc::new(Event::new());
        let told = bell.listen();
        let mut inner = self.gate.inner.borrow_mut();
        self.rests.set(true);
        if inner.closing {
            bell.notify(usize::MAX);
            return told;
        }
        inner.next += 1;
        self.key.set(inner.next);
        let line = if self.fresh.get() {
            &mut inner.fresh
        } else {
            &mut inner.idle
        };
        line.insert(self.key.get(), bell);
        drop(inner);
        self.gate.freed.notify(1);
        told
    }

    /// It has a request open.
    pub(crate) fn work(&self) {
        self.leave_lines();
        self.rests.set(false);
        self.fresh.set(false);
    }

    fn leave_lines(&self) {
        let mut inner = self.gate.inner.borrow_mut();
        inner.fresh.remove(&self.key.get());
        inner.idle.remove(&self.key.get());
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.leave_lines();
        self.gate.inner.borrow_mut().open -= 1;
        self.gate.freed.notify(1);
    }
}

#[cfg(test)]
mod tests;
