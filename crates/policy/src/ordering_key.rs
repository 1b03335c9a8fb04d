//! Ordering keys: requests with the same key run one at a time, in the order of their arrival.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{KeyId, Micros, RequestId};

/// Requests of one key, first in first out; only the first may run.
#[derive(Default)]
struct KeyQueue {
    requests: VecDeque<RequestId>,
    paused_until: Micros,
}

/// The queues of all ordering keys with open requests or a pause.
#[derive(Default)]
pub(crate) struct OrderingKeys {
    queues: BTreeMap<KeyId, KeyQueue>,
}

impl OrderingKeys {
    /// Adds a request behind those of its key. Returns whether it may run now.
    pub(crate) fn push(&mut self, key: KeyId, request: RequestId, now: Micros) -> bool {
        let queue = self.queues.entry(key).or_default();
        queue.requests.push_back(request);
        queue.requests.len() == 1 && queue.paused_until <= now
    }

    /// Pauses a key after an attempt that may still run: the key's next request must not overtake it.
    pub(crate) fn pause(&mut self, key: KeyId, until: Micros) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.paused_until = queue.paused_until.max(until);
        }
    }

    /// Removes an ended request. The key's next one is among those that [`Self::take_runnable`] returns, after its pause.
    pub(crate) fn remove(&mut self, key: KeyId, request: RequestId) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.requests.retain(|other| *other != request);
        }
    }

    /// The first request of each key that is not paused. Keys without requests and pause are dropped.
    pub(crate) fn take_runnable(&mut self, now: Micros) -> Vec<RequestId> {
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
