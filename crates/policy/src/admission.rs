//! Admission: decides which requests enter their class queue, their order there, and which late ones are shed.

use crate::class_statistics::ClassStatistics;
use crate::interface::{Class, Limits, Micros, RequestId};
use crate::intervals::DEADLINE_MARGIN;
use crate::request::{Request, RequestTable};
use crate::units::RunTime;

/// Fraction of the priority weight that a late response must still count with; otherwise late requests are shed.
const MIN_LATE_WEIGHT_RATIO: f64 = 0.2;
/// Fraction of the maximum number of open requests above which late requests are shed.
const MAX_OPEN_RATIO: f64 = 0.7;
/// Fraction of the latency objective that a request may wait before it is late, regardless of its class's run times.
const MIN_SLACK_RATIO: f64 = 0.4;

/// Decision on a request that would wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The request enters its class queue, ordered by `start_by`, and behind all requests that are not late if `late`.
    Queue { late: bool, start_by: Micros },
    /// The request is abandoned because it is out of time, or late and shed.
    Abandon,
}

/// Decides whether a request enters its class queue. `near_connection_limit` is the result of
/// [`is_near_connection_limit`].
pub(crate) fn admit(
    request: &Request,
    class: &Class,
    statistics: &ClassStatistics,
    near_connection_limit: bool,
    now: Micros,
) -> Admission {
    let start_by = latest_start(request.first_sent_at, class, statistics);
    let late = start_by < now;
    let out_of_time = now + DEADLINE_MARGIN >= request.valid_until;
    let is_shed =
        late && (class.late_weight_ratio < MIN_LATE_WEIGHT_RATIO || near_connection_limit);
    if out_of_time || is_shed {
        Admission::Abandon
    } else {
        Admission::Queue { late, start_by }
    }
}

/// Returns the time after which a request counts as late: the latest start that meets the objective at the class's mean
/// run time, less one mean run time in reserve, but at least [`MIN_SLACK_RATIO`] of the objective after the client
/// first sent the request.
fn latest_start(first_sent_at: Micros, class: &Class, statistics: &ClassStatistics) -> Micros {
    let objective = class.latency_objective as f64;
    let threads = class.threads();
    let mean_work = statistics.mean_work();
    let slowdown = (statistics.mean_run_time() * threads / mean_work).max(1.0);
    // The stretch of the objective less the expected run time under the current slowdown.
    let stretch_allowance = mean_work * (class.objective_stretch - slowdown) / threads;
    // One mean run time is subtracted as a reserve, since about half of the queries run longer.
    let slack = RunTime(objective) + stretch_allowance - statistics.mean_run_time();
    first_sent_at.saturating_add(slack.0.max(objective * MIN_SLACK_RATIO) as Micros)
}

/// Returns whether requests without a final response occupy more than [`MAX_OPEN_RATIO`] of the connections that
/// clients may hold. Without a free connection, clients can't send new requests.
pub(crate) fn is_near_connection_limit(pending: usize, limits: &Limits) -> bool {
    let max = limits.max_open_requests;
    max > 0 && pending as f64 > MAX_OPEN_RATIO * max as f64
}

/// Returns the late request to shed first: among those at the head of their queues, the one that its client sent
/// earliest.
pub(crate) fn first_to_shed(
    late_heads: impl Iterator<Item = RequestId>,
    requests: &RequestTable,
) -> Option<RequestId> {
    let started = late_heads.filter_map(|id| Some((requests.get(id)?.first_sent_at, id)));
    started.min().map(|(_, id)| id)
}
