//! Owns the way in which an attempt is taken back. What was said stays said: a task that looks only later still sees it.

use std::cell::Cell;

use event_listener::Event;

/// Shared by an attempt and by those who may take it back.
#[derive(Debug, Default)]
pub struct CancelToken {
    cancelled: Cell<bool>,
    abandoned: Cell<bool>,
    begun: Cell<bool>,
    changed: Event,
}

impl CancelToken {
    /// Takes the attempt back, whether or not it has begun.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Nobody waits for its result any more: nothing further of it may begin. One whose first byte was written goes on,
    /// as whoever decides on it has not taken it back; one that has not begun is over.
    pub fn abandon(&self) {
        self.abandoned.set(true);
        if !self.begun.get() {
            self.cancel();
        }
    }

    /// Its first byte was written.
    pub fn begin(&self) {
        self.begun.set(true);
    }

    /// Whether a byte of it was written: it may have run.
    pub fn has_begun(&self) -> bool {
        self.begun.get()
    }

    /// Whether it was taken back.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.get()
    }

    /// Whether nobody waits for its result.
    pub fn is_abandoned(&self) -> bool {
        self.abandoned.get()
    }

    /// Waits until it is taken back; at once where it has been.
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
