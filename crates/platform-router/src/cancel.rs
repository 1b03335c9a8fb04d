//! Cancellation of an attempt. It is a state and not only a notification, so a task that checks later still sees it.

use std::cell::Cell;

use event_listener::Event;

/// Shared by an attempt and by those who may cancel it.
#[derive(Debug, Default)]
pub struct CancelToken {
    cancelled: Cell<bool>,
    abandoned: Cell<bool>,
    started: Cell<bool>,
    changed: Event,
}

impl CancelToken {
    /// Cancels the attempt, whether or not it has started.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Records that the client no longer waits: an attempt that has not started is cancelled; one whose first byte was
    /// written goes on, as the policy has not cancelled it, but fetches nothing further.
    pub fn abandon(&self) {
        self.abandoned.set(true);
        if !self.started.get() {
            self.cancel();
        }
    }

    /// Records that the first byte was written.
    pub fn mark_started(&self) {
        self.started.set(true);
    }

    /// Whether a byte was written, so that the engine may have executed the statement.
    pub fn has_started(&self) -> bool {
        self.started.get()
    }

    /// Whether the attempt was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.get()
    }

    /// Whether the client no longer waits for the result.
    pub fn is_abandoned(&self) -> bool {
        self.abandoned.get()
    }

    /// Waits until the attempt is cancelled; returns at once if it has been.
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
