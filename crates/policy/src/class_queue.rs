//! Class queues: the requests of a class that wait for a slot, and the waits that the scheduler compares.

use std::collections::BTreeSet;

use crate::interface::{Micros, RequestId};

/// A position in a class queue. Order: requests that can still meet their objective first, then by the latest start that
/// meets it. The order of the fields is the order of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueEntry {
    /// The request can no longer meet its latency objective.
    pub(crate) late: bool,
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

/// The queues of all classes, by class number.
pub(crate) struct ClassQueues {
    queues: Vec<ClassQueue>,
}

impl ClassQueues {
    pub(crate) fn new(classes: usize) -> Self {
        let queues = std::iter::repeat_with(ClassQueue::default)
            .take(classes)
            .collect();
        ClassQueues { queues }
    }

    /// Appends empty queues for further classes.
    pub(crate) fn extend_to(&mut self, classes: usize) {
        self.queues.resize_with(classes, ClassQueue::default);
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

    /// The first request of a class that can meet its objective, or the first late one.
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

    /// The first late request of each class queue.
    pub(crate) fn late_heads(&self) -> impl Iterator<Item = RequestId> {
        (0..self.queues.len()).filter_map(|class| self.first(class, true))
    }

    /// Requests that are queued as able to meet their objective and no longer are.
    pub(crate) fn overdue(&self, now: Micros) -> Vec<RequestId> {
        let is_overdue = |entry: &&QueueEntry| !entry.late && entry.start_by < now;
        let overdue = self
            .queues
            .iter()
            .flat_map(|queue| queue.entries.iter().take_while(is_overdue));
        overdue.map(|entry| entry.request).collect()
    }

    /// Adds the wait of a request that leaves the queue for good: sent for the first time, or ended unsent.
    pub(crate) fn record_wait(&mut self, class: usize, wait: Micros) {
        self.queues[class].waits.add(wait);
    }

    /// Mean wait of each class in this period, in microseconds; the next period starts from none. Requests that still
    /// wait count too: otherwise a class whose clients give up would look fast.
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
