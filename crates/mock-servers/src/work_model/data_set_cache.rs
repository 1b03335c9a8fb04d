//! Which data sets an engine has cached: those that were read last.

use std::collections::VecDeque;

/// The data sets that were read last, the oldest first.
#[derive(Debug)]
pub(super) struct DataSetCache {
    recent: VecDeque<u64>,
    capacity: usize,
}

impl DataSetCache {
    pub(super) fn new(capacity: usize) -> Self {
        let recent = VecDeque::new();
        Self { recent, capacity }
    }

    /// Reads a data set; whether it was cached. The one that was not read for longest is evicted for it.
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
