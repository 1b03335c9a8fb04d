//! The open connections of a server: how many there are, and which have no request open, as those are closed to make
//! room for others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use event_listener::{Event, EventListener};

/// Number of a server's connections at some moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Open connections.
    pub open: usize,
    /// Those of them that have a request open or are closing.
    pub active: usize,
}

#[derive(Default)]
struct Inner {
    open: usize,
    last_key: u64,
    /// Connections that have never sent a request, in the order in which they became idle, with what asks each to close.
    unused: BTreeMap<u64, Rc<Event>>,
    /// Those between two requests, likewise.
    idle: BTreeMap<u64, Rc<Event>>,
    is_ending: bool,
    is_closing: bool,
}

impl Inner {
    fn next_key(&mut self) -> u64 {
        self.last_key += 1;
        self.last_key
    }

    fn idle_connections(&mut self, is_unused: bool) -> &mut BTreeMap<u64, Rc<Event>> {
        if is_unused {
            &mut self.unused
        } else {
            &mut self.idle
        }
    }
}

/// The connections of a server, of which it has a bounded number.
pub struct ServerConnections {
    max: usize,
    inner: RefCell<Inner>,
    /// Notified when a connection is closed or becomes idle.
    freed: Event,
}

impl ServerConnections {
    /// For up to `max` connections at once, and at least one.
    pub fn new(max: usize) -> ServerConnections {
        ServerConnections {
            max: max.max(1),
            inner: RefCell::default(),
            freed: Event::new(),
        }
    }

    /// Number of connections.
    pub fn counts(&self) -> ConnectionCounts {
        let inner = self.inner.borrow();
        ConnectionCounts {
            open: inner.open,
            active: inner.open - inner.unused.len() - inner.idle.len(),
        }
    }

    /// Whether the bound is reached.
    pub(super) fn is_full(&self) -> bool {
        self.inner.borrow().open >= self.max
    }

    /// Waits until one more connection may open; while the bound is reached, asks idle ones to close.
    pub(super) async fn ready(&self) {
        loop {
            let freed = self.freed.listen();
            if !self.is_full() {
                return;
            }
            self.close_one_idle();
            freed.await;
        }
    }

    /// Asks one connection without a request to close: first those that never sent one, and of these the oldest.
    pub fn close_one_idle(&self) {
        let mut inner = self.inner.borrow_mut();
        let (_, close) = match inner.unused.pop_first().or_else(|| inner.idle.pop_first()) {
            Some(oldest) => oldest,
            None => return,
        };
        close.notify(usize::MAX);
    }

    /// From now on each response announces that its connection is closed after it, so that no client sends a request
    /// into a close. Connections without a request may still send one.
    pub fn announce_end(&self) {
        self.inner.borrow_mut().is_ending = true;
    }

    /// Asks all connections without a request to close, now and whenever one becomes idle.
    pub fn close_idle(&self) {
        let mut inner = self.inner.borrow_mut();
        (inner.is_ending, inner.is_closing) = (true, true);
        let unused = std::mem::take(&mut inner.unused).into_values();
        let idle = std::mem::take(&mut inner.idle).into_values();
        for close in unused.chain(idle) {
            close.notify(usize::MAX);
        }
    }

    /// Counts one connection more, also past the bound.
    pub(super) fn admit(self: &Rc<ServerConnections>) -> ConnectionPermit {
        let mut inner = self.inner.borrow_mut();
        inner.open += 1;
        ConnectionPermit {
            connections: self.clone(),
            key: Cell::new(inner.next_key()),
            is_unused: Cell::new(true),
            is_idle: Cell::new(false),
        }
    }
}

/// One connection's place among [`ServerConnections`]; released when dropped.
pub(super) struct ConnectionPermit {
    connections: Rc<ServerConnections>,
    key: Cell<u64>,
    is_unused: Cell<bool>,
    is_idle: Cell<bool>,
}

impl ConnectionPermit {
    /// Whether no request has been received over the connection.
    pub(super) fn is_unused(&self) -> bool {
        self.is_unused.get()
    }

    /// Whether the next response is the connection's last.
    pub(super) fn is_ending(&self) -> bool {
        self.connections.inner.borrow().is_ending
    }

    /// Whether the server closes all idle connections, and not only as many as others need room.
    pub(super) fn is_closing(&self) -> bool {
        self.connections.inner.borrow().is_closing
    }

    /// Whether the connection has no request open.
    pub(super) fn is_idle(&self) -> bool {
        self.is_idle.get()
    }

    /// Records that the connection has no request open. The listener is notified when it is to be closed.
    pub(super) fn set_idle(&self) -> EventListener {
        let close = Rc::new(Event::new());
        let listener = close.listen();
        let mut inner = self.connections.inner.borrow_mut();
        self.is_idle.set(true);
        if inner.is_closing {
            close.notify(usize::MAX);
            return listener;
        }
        let key = inner.next_key();
        self.key.set(key);
        inner
            .idle_connections(self.is_unused.get())
            .insert(key, close);
        drop(inner);
        self.connections.freed.notify(1);
        listener
    }

    /// Records that the connection has a request open.
    pub(super) fn set_active(&self) {
        self.remove_from_idle();
        self.is_idle.set(false);
        self.is_unused.set(false);
    }

    fn remove_from_idle(&self) {
        let mut inner = self.connections.inner.borrow_mut();
        inner.unused.remove(&self.key.get());
        inner.idle.remove(&self.key.get());
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.remove_from_idle();
        self.connections.inner.borrow_mut().open -= 1;
        self.connections.freed.notify(1);
    }
}

#[cfg(test)]
mod tests;
