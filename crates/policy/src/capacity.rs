//! Capacity of an engine, and this gateway's fair share of it.

use crate::interface::{Class, Settings};
use crate::units::Threads;

/// Threads a core at which an engine counts as full, over all gateways.
pub(crate) const THREADS_PER_CORE: f64 = 2.0;
/// A fair share has space for so many queries of the widest class, however many gateways there are.
pub(crate) const MIN_FAIR_SHARE_QUERIES: f64 = 2.0;

/// Threads at which an engine of this machine kind counts as full.
pub(crate) fn engine_capacity(settings: &Settings, kind: Option<usize>) -> Threads {
    Threads(THREADS_PER_CORE * cores(settings, kind))
}

/// Cores of a machine kind; one where the kind is not known.
pub(crate) fn cores(settings: &Settings, kind: Option<usize>) -> f64 {
    let cores = kind.and_then(|kind| settings.cores.get(kind));
    cores.copied().unwrap_or(1.0)
}

/// This gateway's threads on an engine of this kind, all gateways being equal.
pub(crate) fn fair_share(settings: &Settings, kind: Option<usize>) -> Threads {
    let equal_share =
        Threads(THREADS_PER_CORE * cores(settings, kind) / f64::from(settings.gateways));
    equal_share.max(max_class_threads(&settings.classes) * MIN_FAIR_SHARE_QUERIES)
}

/// Threads of the class whose queries use most, at least one.
pub(crate) fn max_class_threads(classes: &[Class]) -> Threads {
    Threads(
        classes
            .iter()
            .map(|class| class.threads)
            .fold(1.0, f64::max),
    )
}

/// Whether one query of the widest class from each gateway exceeds the capacity of the largest machine kind: then
/// concurrency limits per engine can't bound the load.
pub(crate) fn one_query_each_exceeds_capacity(settings: &Settings) -> bool {
    let cores = settings.cores.iter().copied().fold(1.0, f64::max);
    let one_query_each = max_class_threads(&settings.classes).0 * f64::from(settings.gateways);
    THREADS_PER_CORE * cores < one_query_each
}
