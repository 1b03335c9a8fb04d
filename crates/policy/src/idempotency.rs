//! Idempotency: when a request that may have run may be sent again, and where.

use crate::class_statistics::ClassStatistics;
use crate::interface::{DeduplicationScope, EndpointEntry, Idempotency, Micros};
use crate::units::RunTime;

/// Where and when the first attempt that may have run was sent.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    pub(crate) zone: Option<usize>,
    pub(crate) cell: u64,
    pub(crate) sent_at: Micros,
}

/// Until when sending a request again can have no effect twice.
pub(crate) fn safe_until(idempotency: Idempotency, possible_run: Option<PossibleRun>) -> Micros {
    match (idempotency, possible_run) {
        (Idempotency::Idempotent, _) | (_, None) => Micros::MAX,
        (Idempotency::WithKey { window, .. }, Some(run)) => run.sent_at.saturating_add(window),
        (Idempotency::NotIdempotent, Some(_)) => 0,
    }
}

/// Whether an engine recognizes a repeat of a request with an idempotency key. Elsewhere it would run twice.
pub(crate) fn deduplicates_retry(
    idempotency: Idempotency,
    possible_run: Option<PossibleRun>,
    entry: &EndpointEntry,
) -> bool {
    let Some(run) = possible_run else {
        return true;
    };
    match idempotency {
        Idempotency::WithKey {
            scope: DeduplicationScope::Zone,
            ..
        } => entry.zone == run.zone,
        Idempotency::WithKey {
            scope: DeduplicationScope::Cell,
            ..
        } => entry.cell == run.cell,
        _ => true,
    }
}

/// Whether the client of an abandoned request can try again without an effect twice. `never_ran`: no attempt may have run.
pub(crate) fn is_client_retry_harmless(idempotency: Idempotency, never_ran: bool) -> bool {
    match idempotency {
        Idempotency::Idempotent
        | Idempotency::WithKey {
            scope: DeduplicationScope::All,
            ..
        } => true,
        Idempotency::WithKey { .. } | Idempotency::NotIdempotent => never_ran,
    }
}

/// Whether a request would probably be cut off while it runs. One that must not run twice, sent with less than a usual run
/// to go, would end as one that may have run, and somebody has to look it up. Rejected before, it can be tried again.
pub(crate) fn risks_unknown_result(
    idempotency: Idempotency,
    statistics: &ClassStatistics,
    time_left: Micros,
) -> bool {
    idempotency == Idempotency::NotIdempotent
        && statistics.has_samples()
        && RunTime(time_left as f64) < statistics.mean_run_time()
}
