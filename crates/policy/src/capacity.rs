//! Capacity of an engine and this gateway's fair share of it.

use crate::interface::{Class, Settings};
use crate::units::Threads;

/// Threads per core, over all gateways, at which an engine counts as full.
pub(crate) const THREADS_PER_CORE: f64 = 2.0;
/// Minimum fair share, in queries of the class with the most threads, regardless of the number of gateways.
pub(crate) const MIN_FAIR_SHARE_QUERIES: f64 = 2.0;

/// Returns the number of threads at which an engine of a machine kind counts as full.
pub(crate) fn engine_capacity(settings: &Settings, kind: Option<usize>) -> Threads {
    Threads(THREADS_PER_CORE * cores(settings, kind))
}

/// Returns the number of cores of a machine kind, or one if the kind is unknown.
pub(crate) fn cores(settings: &Settings, kind: Option<usize>) -> f64 {
    let cores = kind.and_then(|kind| settings.cores.get(kind));
    cores.copied().unwrap_or(1.0)
}

/// Returns this gateway's fair share of an engine of a machine kind, in threads: an equal share of its capacity, but at
/// least [`MIN_FAIR_SHARE_QUERIES`].
pub(crate) fn fair_share(settings: &Settings, kind: Option<usize>) -> Threads {
    let equal_share =
        Threads(THREADS_PER_CORE * cores(settings, kind) / f64::from(settings.gateways));
    equal_share.max(max_class_threads(&settings.classes) * MIN_FAIR_SHARE_QUERIES)
}

/// Returns the largest number of threads that a class uses per query, at least one.
pub(crate) fn max_class_threads(classes: &[Class]) -> Threads {
    Threads(
        classes
            .iter()
            .map(|class| class.threads)
            .fold(1.0, f64::max),
    )
}

/// Returns whether one query from each gateway, of the class with the most threads, exceeds the capacity of the largest
/// machine kind. Concurrency limits per engine can't bound the load then.
pub(crate) fn one_query_each_exceeds_capacity(settings: &Settings) -> bool {
    let cores = settings.cores.iter().copied().fold(1.0, f64::max);
    let one_query_each = max_class_threads(&settings.classes).0 * f64::from(settings.gateways);
    THREADS_PER_CORE * cores < one_query_each
}
