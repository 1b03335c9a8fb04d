//! What a handler can learn of its client while it handles a request.

use std::cell::Cell;
use std::rc::Rc;

use event_listener::Event;

/// The read-ahead of a connection: the bytes that its client sends while a request is handled. Clones share its state.
#[derive(Clone, Default)]
pub struct ReadAhead(Rc<ReadAheadState>);

#[derive(Default)]
struct ReadAheadState {
    is_exceeded: Cell<bool>,
    exceeded: Event,
}

impl ReadAhead {
    /// Waits until the client has sent more than the server keeps. From then on, the connection serves no further
    /// request, and it can take long until the server notices that the client has closed the connection, because
    /// everything that was sent before must be read first.
    pub async fn exceeded(&self) {
        loop {
            let exceeded = self.0.exceeded.listen();
            if self.is_exceeded() {
                return;
            }
            exceeded.await;
        }
    }

    pub(super) fn is_exceeded(&self) -> bool {
        self.0.is_exceeded.get()
    }

    pub(super) fn mark_exceeded(&self) {
        self.0.is_exceeded.set(true);
        self.0.exceeded.notify(usize::MAX);
    }
}
