//! The cache of the data sets that an engine has read most recently.

use std::collections::VecDeque;

/// A cache of data sets that evicts the least recently read one.
#[derive(Debug)]
pub(super) struct DataSetCache {
    /// The cached data sets, the least recently read one first.
    recent: VecDeque<u64>,
    capacity: usize,
}

impl DataSetCache {
    pub(super) fn new(capacity: usize) -> Self {
        let recent = VecDeque::new();
        Self { recent, capacity }
    }

    /// Reads a data set, which is cached from then on. Returns whether it was cached before.
    pub(super) fn read(&mut self, data_set: u64) -> bool {
        let position = self.recent.iter().position(|cached| *cached == data_set);
        if let Some(position) = position {
            self.recent.remove(position);
        }
        self.recent.push_back(data_set);
        while self.recent.len() > self.capacity {
            self.recent.pop_front();
        }
        position.is_some()
    }
}
