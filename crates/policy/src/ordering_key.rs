//! Ordering keys: requests with the same key run one at a time, in order of arrival.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{KeyId, Micros, RequestId};

/// FIFO queue of the requests of one key. Only the first one may run.
#[derive(Default)]
struct KeyQueue {
    requests: VecDeque<RequestId>,
    paused_until: Micros,
}

/// The queues of all ordering keys that have open requests or are paused.
#[derive(Default)]
pub(crate) struct OrderingKeys {
    queues: BTreeMap<KeyId, KeyQueue>,
}

impl OrderingKeys {
    /// Appends a request to the queue of its key. Returns whether it may run now.
    pub(crate) fn push(&mut self, key: KeyId, request: RequestId, now: Micros) -> bool {
        let queue = self.queues.entry(key).or_default();
        queue.requests.push_back(request);
        queue.requests.len() == 1 && queue.paused_until <= now
    }

    /// Pauses a key after an attempt that may still be running, so that the key's next request does not overtake it.
    pub(crate) fn pause(&mut self, key: KeyId, until: Micros) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.paused_until = queue.paused_until.max(until);
        }
    }

    /// Removes a completed request. After the key's pause, [`Self::runnable_requests`] returns the key's next request.
    pub(crate) fn remove(&mut self, key: KeyId, request: RequestId) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.requests.retain(|other| *other != request);
        }
    }

    /// Returns the first request of each key that is not paused; it may already be queued or in flight. Discards keys
    /// that have no requests and are not paused.
    pub(crate) fn runnable_requests(&mut self, now: Micros) -> Vec<RequestId> {
        self.queues
            .retain(|_, queue| !queue.requests.is_empty() || queue.paused_until > now);
        let runnable = self
            .queues
            .values()
            .filter(|queue| queue.paused_until <= now);
        runnable
            .filter_map(|queue| queue.requests.front().copied())
            .collect()
    }
}
