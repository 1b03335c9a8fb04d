//! The ids of requests: those in flight, and those that must not be executed again.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

use hoptiller_platform_protocol::request::RequestError;

/// How long the id of a request is remembered that may have been executed and must not be executed twice.
const RETENTION: Duration = Duration::from_secs(300);

/// Maximum number of remembered ids, which bounds their memory. The oldest is forgotten for a further one.
const MAX_REMEMBERED: usize = 8192;

/// The ids of requests, as numbers of 16 hex digits.
#[derive(Default)]
pub(crate) struct RequestIds {
    in_flight: RefCell<HashSet<u64>>,
    executed: RefCell<ExecutedIds>,
}

impl RequestIds {
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.borrow().len()
    }

    /// Adds an id to those in flight.
    ///
    /// # Errors
    ///
    /// Returns an error if it is in flight already, or if a request of this id may have been executed and must not be
    /// executed twice.
    pub(crate) fn begin(&self, id: u64, now: Instant) -> Result<(), RequestError> {
        if self.executed.borrow_mut().contains(id, now) {
            return Err(RequestError::RepeatedId);
        }
        if !self.in_flight.borrow_mut().insert(id) {
            return Err(RequestError::DuplicateId);
        }
        Ok(())
    }

    /// Removes an id from those in flight.
    pub(crate) fn end(&self, id: u64) {
        self.in_flight.borrow_mut().remove(&id);
    }

    /// Remembers the id of a request that may have been executed and must not be executed twice.
    pub(crate) fn remember_executed(&self, id: u64, now: Instant) {
        self.executed.borrow_mut().insert(id, now);
    }
}

/// Remembered ids, in the order in which they were added.
#[derive(Default)]
struct ExecutedIds {
    ids: HashSet<u64>,
    added: VecDeque<(Instant, u64)>,
}

impl ExecutedIds {
    fn contains(&mut self, id: u64, now: Instant) -> bool {
        self.forget_expired(now);
        self.ids.contains(&id)
    }

    fn insert(&mut self, id: u64, now: Instant) {
        self.forget_expired(now);
        if !self.ids.insert(id) {
            return;
        }
        self.added.push_back((now, id));
        if self.added.len() > MAX_REMEMBERED {
            self.forget_oldest();
        }
    }

    fn forget_expired(&mut self, now: Instant) {
        let is_expired = |(at, _): &(Instant, u64)| now.duration_since(*at) >= RETENTION;
        while self.added.front().is_some_and(is_expired) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.added.pop_front() {
            self.ids.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
