//! Class queues: the requests of each class that wait for a slot, and their waits, which the scheduler compares.

use std::collections::BTreeSet;

use crate::interface::{Micros, RequestId};

/// An entry of a class queue. The fields define the order: requests that are not late come first, and then requests are
/// ordered by the time after which they count as late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueEntry {
    /// Whether the request counted as late when it was queued.
    pub(crate) late: bool,
    /// Time after which the request counts as late.
    pub(crate) start_by: Micros,
    pub(crate) request: RequestId,
}

/// Sum and count of the waits that ended in a control period.
#[derive(Default)]
struct WaitSum {
    sum: f64,
    count: f64,
}

impl WaitSum {
    fn add(&mut self, wait: Micros) {
        self.sum += wait as f64;
        self.count += 1.0;
    }

    fn mean(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}

#[derive(Default)]
struct ClassQueue {
    entries: BTreeSet<QueueEntry>,
    waits: WaitSum,
}

/// The queues of all classes, indexed by class number.
pub(crate) struct ClassQueues {
    queues: Vec<ClassQueue>,
}

impl ClassQueues {
    pub(crate) fn new(class_count: usize) -> Self {
        let queues = std::iter::repeat_with(ClassQueue::default)
            .take(class_count)
            .collect();
        ClassQueues { queues }
    }

    /// Appends empty queues for new classes.
    pub(crate) fn extend_to(&mut self, class_count: usize) {
        self.queues.resize_with(class_count, ClassQueue::default);
    }

    pub(crate) fn insert(&mut self, class: usize, entry: QueueEntry) {
        self.queues[class].entries.insert(entry);
    }

    pub(crate) fn remove(&mut self, class: usize, entry: &QueueEntry) {
        self.queues[class].entries.remove(entry);
    }

    pub(crate) fn is_any_queued(&self) -> bool {
        self.queues.iter().any(|queue| !queue.entries.is_empty())
    }

    /// Returns the first late request of a class if `late`, and its first request that is not late otherwise.
    pub(crate) fn first(&self, class: usize, late: bool) -> Option<RequestId> {
        let from = QueueEntry {
            late,
            start_by: 0,
            request: RequestId(0),
        };
        let next = self.queues[class].entries.range(from..).next();
        next.filter(|entry| entry.late == late)
            .map(|entry| entry.request)
    }

    /// Returns the first late request of each class queue.
    pub(crate) fn late_heads(&self) -> impl Iterator<Item = RequestId> {
        (0..self.queues.len()).filter_map(|class| self.first(class, true))
    }

    /// Returns requests that have become late since they were queued.
    pub(crate) fn overdue(&self, now: Micros) -> Vec<RequestId> {
        let is_overdue = |entry: &&QueueEntry| !entry.late && entry.start_by < now;
        let overdue = self
            .queues
            .iter()
            .flat_map(|queue| queue.entries.iter().take_while(is_overdue));
        overdue.map(|entry| entry.request).collect()
    }

    /// Adds the wait of a request when it is sent for the first time, or when it ends unsent.
    pub(crate) fn record_wait(&mut self, class: usize, wait: Micros) {
        self.queues[class].waits.add(wait);
    }

    /// Returns the mean wait of each class in this control period, in microseconds, and starts a new period. Requests
    /// that are still waiting count too, since a class whose clients give up would look fast otherwise.
    pub(crate) fn take_mean_waits(
        &mut self,
        wait_so_far: impl Fn(RequestId) -> Micros,
    ) -> Vec<Option<f64>> {
        let take_mean = |queue: &mut ClassQueue| {
            let mut waits = std::mem::take(&mut queue.waits);
            for entry in &queue.entries {
                waits.add(wait_so_far(entry.request));
            }
            waits.mean()
        };
        self.queues.iter_mut().map(take_mean).collect()
    }
}
