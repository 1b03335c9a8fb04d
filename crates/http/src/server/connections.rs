//! The open connections of a server: their number, and which of them can be closed to make room for others, because
//! they have sent their last response, are idle or have not received a complete request yet.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::{Event, EventListener};

/// Time for a client to send its request in which other connections are closed to make room, so that a client that has
/// just connected is not taken for a silent one.
const ARRIVAL_GRACE: Duration = Duration::from_millis(20);

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

/// A connection that can be closed to make room for another one.
struct Evictable {
    /// When it got into its present state.
    since: Instant,
    /// Notified to close the connection.
    close: Rc<Event>,
}

impl Evictable {
    fn new(close: Rc<Event>) -> Evictable {
        Evictable {
            since: Instant::now(),
            close,
        }
    }
}

/// Connections in the same state, in the order in which they got into it.
type Evictables = BTreeMap<u64, Evictable>;

#[derive(Default)]
struct ConnectionsState {
    open: usize,
    last_key: u64,
    /// Idle connections that never sent a complete request.
    unused: Evictables,
    /// Idle connections that are between two requests.
    idle: Evictables,
    /// Connections whose second or a later request is arriving.
    receiving: Evictables,
    /// Connections that have sent their last response.
    closing: Evictables,
    /// Connections whose clients have not taken the whole response, in the order of their last progress. They are not
    /// closed to make room for connections, only to free memory.
    writing: Evictables,
    closes_after_response: bool,
    closes_when_idle: bool,
}

impl ConnectionsState {
    fn next_key(&mut self) -> u64 {
        self.last_key += 1;
        self.last_key
    }

    fn idle_connections(&mut self, is_unused: bool) -> &mut Evictables {
        if is_unused {
            &mut self.unused
        } else {
            &mut self.idle
        }
    }

    /// Closes one connection to make room: the oldest that has sent its last response, else one that waits for its client.
    /// Of these, it is the one that has been idle for longest, first of those that never sent a request, else the one
    /// whose request has been arriving for longest. Clients get the time to send a request while there are others.
    fn evict_one(&mut self, now: Instant) {
        let is_due = |connections: &Evictables| {
            let oldest = connections.first_key_value();
            oldest.is_some_and(|(_, oldest)| now.duration_since(oldest.since) >= ARRIVAL_GRACE)
        };
        let candidates = if !self.closing.is_empty() {
            &mut self.closing
        } else if is_due(&self.unused) {
            &mut self.unused
        } else if !self.idle.is_empty() {
            &mut self.idle
        } else if is_due(&self.receiving) || self.unused.is_empty() {
            &mut self.receiving
        } else {
            &mut self.unused
        };
        if let Some((_, oldest)) = candidates.pop_first() {
            oldest.close.notify(usize::MAX);
        }
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

    /// Asks one connection to close that has sent its last response, is idle or has no complete request, in this order.
    pub(super) fn evict_one(&self) {
        self.state.borrow_mut().evict_one(Instant::now());
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
        for connection in unused.chain(idle) {
            connection.close.notify(usize::MAX);
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
        }
    }
}

/// The registration of one connection with its [`ServerConnections`], removed when dropped.
pub(super) struct ConnectionRegistration {
    connections: Rc<ServerConnections>,
    key: Cell<u64>,
    is_unused: Cell<bool>,
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

    /// Marks the connection as idle, that is, waiting for a request. The first request of a connection counts only once
    /// it is complete, so that sending a part of it does not keep the connection's place. Returns a listener that is notified when the connection is to be closed.
    pub(super) fn mark_idle(&self) -> EventListener {
        if self.closes_when_idle() {
            let close = Event::new();
            let listener = close.listen();
            close.notify(usize::MAX);
            return listener;
        }
        self.insert_evictable(|state| state.idle_connections(self.is_unused.get()))
    }

    /// Marks the connection as receiving a request after its first one. Returns a listener that is notified when its
    /// place is needed for another connection.
    pub(super) fn mark_receiving(&self) -> EventListener {
        self.remove_from_evictable();
        self.insert_evictable(|state| &mut state.receiving)
    }

    /// Marks the connection as having a request in progress.
    pub(super) fn mark_active(&self) {
        self.remove_from_evictable();
        self.is_unused.set(false);
    }

    /// Marks an active connection as waiting for its client to take more of a response. Returns a listener that is
    /// notified when its memory is needed for another response.
    pub(super) fn mark_writing(&self) -> EventListener {
        self.remove_from_evictable();
        self.insert_evictable(|state| &mut state.writing)
    }

    /// Asks the connection to close whose client has taken nothing of its response for the longest time.
    pub(super) fn evict_stalled_writer(&self) {
        let mut state = self.connections.state.borrow_mut();
        if let Some((_, oldest)) = state.writing.pop_first() {
            oldest.close.notify(usize::MAX);
        }
    }

    /// Marks an active connection as having sent its last response. Returns a listener that is notified when its place
    /// is needed for another connection.
    pub(super) fn mark_closing(&self) -> EventListener {
        self.insert_evictable(|state| &mut state.closing)
    }

    /// Adds the connection to those that can be closed to make room.
    fn insert_evictable(
        &self,
        connections: impl FnOnce(&mut ConnectionsState) -> &mut Evictables,
    ) -> EventListener {
        let close = Rc::new(Event::new());
        let listener = close.listen();
        let mut state = self.connections.state.borrow_mut();
        let key = state.next_key();
        self.key.set(key);
        connections(&mut state).insert(key, Evictable::new(close));
        drop(state);
        self.connections.room_changed.notify(1);
        listener
    }

    fn remove_from_evictable(&self) {
        let mut state = self.connections.state.borrow_mut();
        let key = self.key.get();
        state.closing.remove(&key);
        state.unused.remove(&key);
        state.idle.remove(&key);
        state.receiving.remove(&key);
        state.writing.remove(&key);
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
