//! Cancellation of an attempt. The token keeps it as state, so that a task that checks later still sees it.

use std::cell::Cell;

use event_listener::Event;

/// The cancellation state shared by an attempt and the tasks that may cancel it.
#[derive(Debug, Default)]
pub struct CancelToken {
    cancelled: Cell<bool>,
    request_ended: Cell<bool>,
    started: Cell<bool>,
    changed: Event,
}

impl CancelToken {
    /// Cancels the attempt, whether or not it has started.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Records that the request ended: its client has a response or disconnected. An attempt that has not started is
    /// cancelled. One whose first byte was written continues, as the policy has not cancelled it, but fetches no
    /// further pages.
    pub fn mark_request_ended(&self) {
        self.request_ended.set(true);
        if !self.started.get() {
            self.cancel();
        }
    }

    /// Records that the first byte of the attempt was written.
    pub fn mark_started(&self) {
        self.started.set(true);
    }

    /// Returns whether a byte was written, so that the engine may have executed the statement.
    pub fn has_started(&self) -> bool {
        self.started.get()
    }

    /// Returns whether the attempt was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.get()
    }

    /// Returns whether the request ended, so that no client waits for the result.
    pub fn has_request_ended(&self) -> bool {
        self.request_ended.get()
    }

    /// Waits until the attempt is cancelled. Returns at once if it already is.
    pub async fn cancelled(&self) {
        loop {
            let changed = self.changed.listen();
            if self.cancelled.get() {
                return;
            }
            changed.await;
        }
    }
}
