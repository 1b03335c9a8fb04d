//! Admission: which requests enter their class queue, in which order, and which late ones are shed.

use crate::class_statistics::ClassStatistics;
use crate::interface::{Class, Limits, Micros, RequestId};
use crate::intervals::DEADLINE_MARGIN;
use crate::request::{Request, RequestTable};
use crate::units::RunTime;

/// Late requests whose answers keep less of their priority weight are shed, not queued.
const MIN_LATE_WEIGHT_RATIO: f64 = 0.2;
/// Part of the requests that may be open over which late ones are shed.
const MAX_OPEN_RATIO: f64 = 0.7;
/// Part of the latency objective that a request may wait, however slow its class is, before it is late.
const MIN_SLACK_RATIO: f64 = 0.4;

/// What becomes of a request that would wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It enters its class queue: behind all that can meet their objective if `late`, then by `start_by`.
    Queue { late: bool, start_by: Micros },
    /// Waiting is of no use: out of time, or late and shed.
    Abandon,
}

/// Decides on a request that is to wait. `near_connection_limit` is the result of
/// [`is_near_connection_limit`].
pub(crate) fn admit(
    request: &Request,
    class: &Class,
    statistics: &ClassStatistics,
    near_connection_limit: bool,
    now: Micros,
) -> Admission {
    let start_by = latest_start(request.started_at, class, statistics);
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

/// The latest start that meets the objective when the query runs as those of its class run now.
fn latest_start(started_at: Micros, class: &Class, statistics: &ClassStatistics) -> Micros {
    let objective = class.latency_objective as f64;
    let threads = class.threads();
    let mean_work = statistics.mean_work();
    let slowdown = (statistics.mean_run_time() * threads / mean_work).max(1.0);
    // Beyond the slowdown that is usual now.
    let stretch_allowance = mean_work * (class.objective_stretch - slowdown) / threads;
    // A mean run is kept in reserve: half the queries run longer.
    let slack = RunTime(objective) + stretch_allowance - statistics.mean_run_time();
    started_at.saturating_add(slack.0.max(objective * MIN_SLACK_RATIO) as Micros)
}

/// Whether waiting requests occupy more than [`MAX_OPEN_RATIO`] of the connections that clients may hold: with none left,
/// new requests are not sent.
pub(crate) fn is_near_connection_limit(waiting: usize, limits: &Limits) -> bool {
    let max = limits.max_open_requests;
    max > 0 && waiting as f64 > MAX_OPEN_RATIO * max as f64
}

/// Which of the late requests at the head of their queues is shed first: the one whose client first sent it
/// earliest.
pub(crate) fn first_to_shed(
    late_heads: impl Iterator<Item = RequestId>,
    requests: &RequestTable,
) -> Option<RequestId> {
    let started = late_heads.filter_map(|id| Some((requests.get(id)?.started_at, id)));
    started.min().map(|(_, id)| id)
}
