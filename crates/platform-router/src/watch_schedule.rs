//! Decides when a watch client makes a call to the coordinator, and which of its calls stay open. Contains no I/O.
//!
//! A call is a connection on which the events after the last one received are requested. If no call has delivered a
//! frame for some time, the coordinator may be silent or the connection dead, so another call is made. The earlier ones
//! stay open: a coordinator that is only slow answers the oldest first. The first frame on any call closes the others.

use std::time::{Duration, Instant};

/// Maximum number of open calls. When another one is made, the second oldest is closed.
const MAX_OPEN_CALLS: usize = 4;
/// A call is followed by another one if it is not connected after this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Another call is made if no complete frame arrives within this time; partial frames don't count. The coordinator sends
/// a keep-alive each second.
const MIN_FRAME_TIMEOUT: Duration = Duration::from_millis(2_200);
/// The frame timeout for a coordinator that answers slowly or not at all. An event counts as reported 4 s after the
/// coordinator has fallen silent.
const MAX_FRAME_TIMEOUT: Duration = Duration::from_millis(3_500);
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Identifies a call of one [`WatchSchedule`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallId(u64);

/// An open call.
#[derive(Debug)]
struct OpenCall {
    id: CallId,
    is_subscribed: bool,
}

/// The schedule of the calls to one coordinator.
#[derive(Debug)]
pub(crate) struct WatchSchedule {
    /// The open calls, the oldest first.
    open: Vec<OpenCall>,
    last_id: u64,
    next_call_at: Instant,
    /// The time of the last frame, or of the start.
    last_frame_at: Instant,
    frame_timeout: Duration,
    backoff: Duration,
}

impl WatchSchedule {
    /// Creates a schedule whose first call is due now.
    pub(crate) fn new(now: Instant) -> WatchSchedule {
        WatchSchedule {
            open: Vec::new(),
            last_id: 0,
            next_call_at: now,
            last_frame_at: now,
            frame_timeout: MIN_FRAME_TIMEOUT,
            backoff: MIN_BACKOFF,
        }
    }

    /// Returns when the next call is due.
    pub(crate) fn next_call_at(&self) -> Instant {
        self.next_call_at
    }

    /// Returns whether a call is to stay open.
    pub(crate) fn is_open(&self, id: CallId) -> bool {
        self.open.iter().any(|call| call.id == id)
    }

    /// Returns the number of open calls.
    pub(crate) fn open_calls(&self) -> usize {
        self.open.len()
    }

    /// Records that the due call is made, and returns its id.
    pub(crate) fn begin_call(&mut self, now: Instant) -> CallId {
        if self.open.iter().any(|call| call.is_subscribed) {
            self.frame_timeout = (self.frame_timeout * 3 / 2).min(MAX_FRAME_TIMEOUT);
        }
        if self.open.len() >= MAX_OPEN_CALLS {
            // The oldest stays, as a slow coordinator answers it before the others.
            self.open.remove(1);
        }
        self.last_id += 1;
        let id = CallId(self.last_id);
        self.open.push(OpenCall {
            id,
            is_subscribed: false,
        });
        self.next_call_at = now + CONNECT_TIMEOUT;
        id
    }

    /// Records that a call is connected and has requested the events.
    pub(crate) fn subscribed(&mut self, id: CallId, now: Instant) {
        if let Some(call) = self.open.iter_mut().find(|call| call.id == id) {
            call.is_subscribed = true;
            self.next_call_at = now + self.frame_timeout;
        }
    }

    /// Records a complete frame on a call, which closes all others.
    pub(crate) fn frame_received(&mut self, id: CallId, now: Instant) {
        self.open.retain(|call| call.id == id);
        // After a late frame the longer timeout stays, so that a slow coordinator does not get a further call for each.
        if now.duration_since(self.last_frame_at) <= MIN_FRAME_TIMEOUT {
            self.frame_timeout = MIN_FRAME_TIMEOUT;
        }
        self.last_frame_at = now;
        self.backoff = MIN_BACKOFF;
        self.next_call_at = now + self.frame_timeout;
    }

    /// Records that a call has failed. A further one follows after a backoff, unless a later call is already open.
    pub(crate) fn call_failed(&mut self, id: CallId, now: Instant) {
        let is_newest = self.open.last().is_some_and(|call| call.id == id);
        self.open.retain(|call| call.id != id);
        if is_newest {
            self.next_call_at = self.next_call_at.min(now + self.backoff);
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        }
    }
}

#[cfg(test)]
mod tests;
