//! The open connections of a server: their number, and which of them are idle and can be closed to make room for
//! others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use event_listener::{Event, EventListener};

/// The numbers of a server's connections at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Number of open connections.
    pub open: usize,
    /// Number of open connections that are not idle or have been asked to close. A connection whose first request is
    /// still arriving is idle.
    pub active: usize,
    /// Number of active connections that have sent their last response and only wait for the client's end.
    pub closing: usize,
}

#[derive(Default)]
struct ConnectionsState {
    open: usize,
    last_key: u64,
    /// Idle connections that never sent a request, in the order in which they became idle, each with the event that
    /// asks it to close.
    unused: BTreeMap<u64, Rc<Event>>,
    /// Idle connections that are between two requests, in the same form.
    idle: BTreeMap<u64, Rc<Event>>,
    /// Number of connections that have sent their last response.
    closing: usize,
    closes_after_response: bool,
    closes_when_idle: bool,
}

impl ConnectionsState {
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

/// The connections of a server, with a maximum number.
pub struct ServerConnections {
    max_open: usize,
    state: RefCell<ConnectionsState>,
    /// Notified when a connection closes or becomes idle.
    closed_or_idle: Event,
}

impl ServerConnections {
    /// Creates an empty set for up to `max_open` connections, or one if `max_open` is 0.
    pub fn new(max_open: usize) -> ServerConnections {
        ServerConnections {
            max_open: max_open.max(1),
            state: RefCell::default(),
            closed_or_idle: Event::new(),
        }
    }

    /// Returns the numbers of connections.
    pub fn counts(&self) -> ConnectionCounts {
        let state = self.state.borrow();
        ConnectionCounts {
            open: state.open,
            active: state.open - state.unused.len() - state.idle.len(),
            closing: state.closing,
        }
    }

    /// Returns whether the maximum is reached.
    pub(super) fn is_full(&self) -> bool {
        self.state.borrow().open >= self.max_open
    }

    /// Waits until another connection may be accepted. While the maximum is reached, asks idle connections to close.
    pub(super) async fn wait_for_capacity(&self) {
        loop {
            let closed_or_idle = self.closed_or_idle.listen();
            if !self.is_full() {
                return;
            }
            tracing::debug!(counts = ?self.counts(), "connection limit reached, accepting is suspended");
            self.close_one_idle();
            closed_or_idle.await;
        }
    }

    /// Asks one idle connection to close: the one that has been idle for longest, of those that never sent a request if
    /// there are any.
    pub fn close_one_idle(&self) {
        let mut state = self.state.borrow_mut();
        let (_, close) = match state.unused.pop_first().or_else(|| state.idle.pop_first()) {
            Some(oldest) => oldest,
            None => return,
        };
        close.notify(usize::MAX);
    }

    /// Makes each further response announce that its connection is closed after it, so that no client sends a request
    /// on a connection that is being closed. A request on an idle connection is still served.
    pub fn announce_end(&self) {
        self.state.borrow_mut().closes_after_response = true;
    }

    /// Asks all idle connections to close, and from now on each connection that becomes idle.
    pub fn close_idle(&self) {
        let mut state = self.state.borrow_mut();
        (state.closes_after_response, state.closes_when_idle) = (true, true);
        let unused = std::mem::take(&mut state.unused).into_values();
        let idle = std::mem::take(&mut state.idle).into_values();
        for close in unused.chain(idle) {
            close.notify(usize::MAX);
        }
    }

    /// Registers a new connection, even if the maximum is reached.
    pub(super) fn register(self: &Rc<ServerConnections>) -> ConnectionRegistration {
        let mut state = self.state.borrow_mut();
        state.open += 1;
        ConnectionRegistration {
            connections: self.clone(),
            key: Cell::new(state.next_key()),
            is_unused: Cell::new(true),
            is_idle: Cell::new(false),
            is_closing: Cell::new(false),
        }
    }
}

/// The registration of one connection with its [`ServerConnections`], removed when dropped.
pub(super) struct ConnectionRegistration {
    connections: Rc<ServerConnections>,
    key: Cell<u64>,
    is_unused: Cell<bool>,
    is_idle: Cell<bool>,
    is_closing: Cell<bool>,
}

impl ConnectionRegistration {
    /// Returns whether the connection has received no request yet.
    pub(super) fn is_unused(&self) -> bool {
        self.is_unused.get()
    }

    /// Returns whether the connection is closed after its next response.
    pub(super) fn closes_after_response(&self) -> bool {
        self.connections.state.borrow().closes_after_response
    }

    /// Returns whether the server closes all idle connections, not only those whose place others need.
    pub(super) fn closes_when_idle(&self) -> bool {
        self.connections.state.borrow().closes_when_idle
    }

    /// Returns whether the connection is idle, that is, waits for a request. The first request of a connection counts
    /// only once it is complete, so that sending a part of it does not keep the connection's place.
    pub(super) fn is_idle(&self) -> bool {
        self.is_idle.get()
    }

    /// Marks the connection as idle. Returns a listener that is notified when the connection is to be closed.
    pub(super) fn mark_idle(&self) -> EventListener {
        let close = Rc::new(Event::new());
        let listener = close.listen();
        let mut state = self.connections.state.borrow_mut();
        self.is_idle.set(true);
        if state.closes_when_idle {
            close.notify(usize::MAX);
            return listener;
        }
        let key = state.next_key();
        self.key.set(key);
        state
            .idle_connections(self.is_unused.get())
            .insert(key, close);
        drop(state);
        self.connections.closed_or_idle.notify(1);
        listener
    }

    /// Marks the connection as having a request in progress.
    pub(super) fn mark_active(&self) {
        self.remove_from_idle();
        self.is_idle.set(false);
        self.is_unused.set(false);
    }

    /// Marks an active connection as having sent its last response.
    pub(super) fn mark_closing(&self) {
        if !self.is_closing.replace(true) {
            self.connections.state.borrow_mut().closing += 1;
        }
    }

    fn remove_from_idle(&self) {
        let mut state = self.connections.state.borrow_mut();
        state.unused.remove(&self.key.get());
        state.idle.remove(&self.key.get());
    }
}

impl Drop for ConnectionRegistration {
    fn drop(&mut self) {
        self.remove_from_idle();
        let mut state = self.connections.state.borrow_mut();
        state.open -= 1;
        state.closing -= usize::from(self.is_closing.get());
        drop(state);
        self.connections.closed_or_idle.notify(1);
    }
}

#[cfg(test)]
mod tests;
