//! Idempotency: when and where a request that may have run may be sent again.

use crate::class_statistics::ClassStatistics;
use crate::interface::{DeduplicationScope, EndpointEntry, Idempotency, Micros};
use crate::units::RunTime;

/// Place and time of the first attempt that may have run.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    pub(crate) zone: Option<usize>,
    pub(crate) cell: u64,
    pub(crate) sent_at: Micros,
}

/// Returns the time until which sending a request again can't repeat its effects.
pub(crate) fn safe_until(idempotency: Idempotency, possible_run: Option<PossibleRun>) -> Micros {
    match (idempotency, possible_run) {
        (Idempotency::Idempotent, _) | (_, None) => Micros::MAX,
        (Idempotency::WithKey { window, .. }, Some(run)) => run.sent_at.saturating_add(window),
        (Idempotency::NotIdempotent, Some(_)) => 0,
    }
}

/// Returns whether a request may be sent to an engine as far as idempotency keys are concerned. A request with a key
/// that may have run may only be sent to engines that recognise the key; elsewhere it could run twice.
pub(crate) fn is_within_deduplication_scope(
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

/// Returns whether the client can retry an abandoned request without repeating its effects. `never_ran` tells that
/// certainly no attempt has run. The window of an idempotency key is not considered.
pub(crate) fn is_client_retry_safe(idempotency: Idempotency, never_ran: bool) -> bool {
    match idempotency {
        Idempotency::Idempotent
        | Idempotency::WithKey {
            scope: DeduplicationScope::All,
            ..
        } => true,
        Idempotency::WithKey { .. } | Idempotency::NotIdempotent => never_ran,
    }
}

/// Returns whether a request that is not idempotent would probably reach its deadline while it runs, because less than
/// one mean run time is left. It would then be unknown whether the request has run, and someone would have to find out.
/// If it is rejected unsent, the client can retry. Nothing is rejected before the class's first success.
pub(crate) fn risks_unknown_result(
    idempotency: Idempotency,
    statistics: &ClassStatistics,
    time_left: Micros,
) -> bool {
    idempotency == Idempotency::NotIdempotent
        && statistics.has_samples()
        && RunTime(time_left as f64) < statistics.mean_run_time()
}
