//! Whether the unknown fingerprints of a class are held together: they are when several of them ran away within a short
//! time, as happens when every text is different and a hold on one of them has no effect.

use std::collections::VecDeque;

use hoptiller_policy::Micros;

/// Runaways of unknown fingerprints of a class, within the window, from which all of them are held together.
const MIN_RUNAWAYS: usize = 3;
/// That window.
const WINDOW: Micros = 300_000_000;

/// When runaways of unknown fingerprints were found, by class.
#[derive(Debug)]
pub(crate) struct UnknownRunaways {
    found_at: Vec<VecDeque<Micros>>,
}

impl UnknownRunaways {
    /// No runaways of some classes.
    pub(crate) fn new(classes: usize) -> UnknownRunaways {
        UnknownRunaways {
            found_at: vec![VecDeque::new(); classes],
        }
    }

    /// Adds classes at the end.
    pub(crate) fn resize_classes(&mut self, classes: usize) {
        self.found_at.resize(classes, VecDeque::new());
    }

    /// Records a runaway of an unknown fingerprint. Returns whether there are enough of them to be held together.
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
