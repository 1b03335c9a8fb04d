//! Whether all unknown fingerprints of a class are held together. They are if several of them had runaways within a
//! short time: a client that varies its statement texts would evade holds on single fingerprints.

use std::collections::VecDeque;

use hoptiller_policy::Micros;

/// Number of runaways of unknown fingerprints of a class, within [`WINDOW`], from which all unknown ones are held
/// together.
const MIN_RUNAWAYS: usize = 3;
/// Time window in which runaways of unknown fingerprints are counted.
const WINDOW: Micros = 300_000_000;

/// The times at which runaways of unknown fingerprints were found, by class.
#[derive(Debug)]
pub(crate) struct UnknownRunaways {
    found_at: Vec<VecDeque<Micros>>,
}

impl UnknownRunaways {
    /// Creates the counters of `classes` classes, without runaways.
    pub(crate) fn new(classes: usize) -> UnknownRunaways {
        UnknownRunaways {
            found_at: vec![VecDeque::new(); classes],
        }
    }

    /// Adds classes at the end.
    pub(crate) fn resize_classes(&mut self, classes: usize) {
        self.found_at.resize(classes, VecDeque::new());
    }

    /// Records a runaway of an unknown fingerprint. Returns whether all unknown fingerprints of the class are to be
    /// held together.
    pub(crate) fn record(&mut self, now: Micros, class: usize) -> bool {
        let found_at = &mut self.found_at[class];
        found_at.push_back(now);
        while found_at.front().is_some_and(|at| now - *at > WINDOW) {
            found_at.pop_front();
        }
        found_at.len() >= MIN_RUNAWAYS
    }
}

#[cfg(test)]
mod tests;
