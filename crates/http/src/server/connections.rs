//! The open connections of a server: their number, and which of them can be closed to make room for others, because
//! they are idle or have sent their last response.

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
    /// Connections that have sent their last response, in the order in which they did, in the same form.
    closing: BTreeMap<u64, Rc<Event>>,
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

    /// Removes the connection that is closed first to make room: the oldest that has sent its last response, else the
    /// one that has been idle for longest, of those that never sent a request if there are any.
    fn pop_evictable(&mut self) -> Option<Rc<Event>> {
        let oldest = self.closing.pop_first();
        let oldest = oldest.or_else(|| self.unused.pop_first());
        let (_, close) = oldest.or_else(|| self.idle.pop_first())?;
        Some(close)
    }
}

/// The connections of a server, with a maximum number.
pub struct ServerConnections {
    max_open: usize,
    state: RefCell<ConnectionsState>,
    /// Notified when a connection closes or can be closed to make room.
    room_changed: Event,
}

impl ServerConnections {
    /// Creates an empty set for up to `max_open` connections, or one if `max_open` is 0.
    pub fn new(max_open: usize) -> ServerConnections {
        ServerConnections {
            max_open: max_open.max(1),
            state: RefCell::default(),
            room_changed: Event::new(),
        }
    }

    /// Returns the numbers of connections.
    pub fn counts(&self) -> ConnectionCounts {
        let state = self.state.borrow();
        ConnectionCounts {
            open: state.open,
            active: state.open - state.unused.len() - state.idle.len(),
            closing: state.closing.len(),
        }
    }

    /// Returns whether the maximum is reached.
    pub(super) fn is_full(&self) -> bool {
        self.state.borrow().open >= self.max_open
    }

    /// Waits until another connection may be accepted. While the maximum is reached, closes others to make room.
    pub(super) async fn wait_for_capacity(&self) {
        loop {
            let room_changed = self.room_changed.listen();
            if !self.is_full() {
                return;
            }
            tracing::debug!(counts = ?self.counts(), "connection limit reached, accepting is suspended");
            self.evict_one();
            room_changed.await;
        }
    }

    /// Asks one connection to close that has sent its last response or, if there is none, is idle.
    pub fn evict_one(&self) {
        if let Some(close) = self.state.borrow_mut().pop_evictable() {
            close.notify(usize::MAX);
        }
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
        }
    }
}

/// The registration of one connection with its [`ServerConnections`], removed when dropped.
pub(super) struct ConnectionRegistration {
    connections: Rc<ServerConnections>,
    key: Cell<u64>,
    is_unused: Cell<bool>,
    is_idle: Cell<bool>,
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
        self.connections.room_changed.notify(1);
        listener
    }

    /// Marks the connection as having a request in progress.
    pub(super) fn mark_active(&self) {
        self.remove_from_evictable();
        self.is_idle.set(false);
        self.is_unused.set(false);
    }

    /// Marks an active connection as having sent its last response. Returns a listener that is notified when its place
    /// is needed for another connection.
    pub(super) fn mark_closing(&self) -> EventListener {
        let close = Rc::new(Event::new());
        let listener = close.listen();
        let mut state = self.connections.state.borrow_mut();
        let key = state.next_key();
        self.key.set(key);
        state.closing.insert(key, close);
        drop(state);
        self.connections.room_changed.notify(1);
        listener
    }

    fn remove_from_evictable(&self) {
        let mut state = self.connections.state.borrow_mut();
        state.closing.remove(&self.key.get());
        state.unused.remove(&self.key.get());
        state.idle.remove(&self.key.get());
    }
}

impl Drop for ConnectionRegistration {
    fn drop(&mut self) {
        self.remove_from_evictable();
        self.connections.state.borrow_mut().open -= 1;
        self.connections.room_changed.notify(1);
    }
}

#[cfg(test)]
mod tests;
