//! Shared helpers of the module's tests: settings and short forms of events.
#![allow(dead_code)]

use hoptiller_policy::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: S,
        objective_stretch: 2.0,
        deadline: 5 * S,
        idempotency,
        ordered_by_key: false,
        late_weight_ratio: 0.3,
        priority_weight: 1.0,
        zones: None,
        kinds: None,
        threads: 1.0,
        locks_group: false,
    }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        gateways: 1,
        index: 0,
        tick: 5 * MS,
        classes,
        cores: vec![4.0, 4.0],
        tenant_quotas: vec![],
        over_quota_weight: 1.0,
        load_reports: true,
        progress_interval: 0,
        max_grant_mb: 0.0,
        memory_overcommit: false,
        reports_in_flight: true,
        reports_work: false,
        health_check_cost: 0.0,
        clients_mark_retries: false,
        discovery: Discovery::Push,
        limits: Limits {
            max_attempts: 3,
            max_open_requests: 0,
            hedged_requests: false,
            retry_after: true,
            max_retry_after: S,
            priorities: false,
            health_checks: false,
            cancel: false,
        },
        rules: Rules {
            start_capacity: 0.3,
            slow_start_window: 10 * S,
            overload_factor: 3.0,
            overload_window: S,
            key_pause: 500 * MS,
            retry_budget: None,
            max_poll_interval: 10 * S,
        },
    }
}

pub fn entry(engine: u32, kind: usize) -> EndpointEntry {
    EndpointEntry {
        engine: EngineId(engine),
        zone: Some(0),
        kind: Some(kind),
        cell: 0,
        ready_at: 0,
        readiness: Readiness::Up,
    }
}

pub fn list(scope: ListScope, engines: &[u32]) -> Event {
    Event::EndpointList(scope, engines.iter().map(|e| entry(*e, 0)).collect())
}

pub fn arrival(id: u64, class: usize, valid_until: Micros) -> Event {
    Event::Arrival(Arrival {
        request: RequestId(id),
        class,
        tenant: None,
        key: None,
        valid_until,
        estimated_work: None,
        estimated_memory_mb: 0.0,
        group: None,
        is_retry: false,
        kind: None,
    })
}

/// An arrival with other fields than those of [`arrival`].
pub fn arrival_with(event: Event, change: impl FnOnce(&mut Arrival)) -> Event {
    let Event::Arrival(mut arrival) = event else {
        unreachable!("an arrival")
    };
    change(&mut arrival);
    Event::Arrival(arrival)
}

pub fn keyed(id: u64, class: usize, valid_until: Micros, key: u64) -> Event {
    arrival_with(arrival(id, class, valid_until), |a| {
        a.key = Some(KeyId(key))
    })
}

pub fn outcome(id: u64, attempt: u32, engine: u32, status: AttemptStatus) -> Event {
    Event::Outcome(Outcome {
        request: RequestId(id),
        attempt,
        engine: EngineId(engine),
        status,
        elapsed: 100 * MS,
        terminal: status == AttemptStatus::Succeeded,
        work: None,
        report: None,
    })
}

/// A controller with seed 1.
pub fn controller(settings: Settings) -> Controller {
    Controller::new(settings, 1).expect("usable settings")
}

/// An outcome with other fields than those of [`outcome`].
pub fn outcome_with(event: Event, change: impl FnOnce(&mut Outcome)) -> Event {
    let Event::Outcome(mut outcome) = event else {
        unreachable!("an outcome")
    };
    change(&mut outcome);
    Event::Outcome(outcome)
}

/// One batch; its actions.
pub fn step(c: &mut Controller, now: Micros, events: &[Event]) -> Vec<Action> {
    let mut out = Vec::new();
    c.handle(now, events, &mut out);
    out
}

pub fn sends(actions: &[Action]) -> Vec<(u64, u32)> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::Send {
                request, engine, ..
            } => Some((request.0, engine.0)),
            _ => None,
        })
        .collect()
}

/// Rejected (true) and failed (false) requests.
pub fn answers(actions: &[Action]) -> Vec<(u64, bool)> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::Reject { request, .. } => Some((request.0, true)),
            Action::Fail(request) => Some((request.0, false)),
            _ => None,
        })
        .collect()
}

/// Settings under which attempts report progress every second and may be cancelled.
pub fn with_progress(classes: Vec<Class>) -> Settings {
    let mut cfg = Settings {
        progress_interval: S,
        ..settings(classes)
    };
    cfg.limits.cancel = true;
    cfg
}

/// A progress event of an attempt.
pub fn progress(id: u64, attempt: u32, engine: u32, done: f64) -> Event {
    let progress = Progress::Completed(done);
    Event::Progress {
        request: RequestId(id),
        attempt,
        engine: EngineId(engine),
        progress,
    }
}

/// An idempotent class whose clients wait for long.
pub fn long() -> Class {
    Class {
        deadline: 25 * S,
        ..class(Idempotency::Idempotent)
    }
}

/// Cancelled attempts: request and attempt number.
pub fn cancels(actions: &[Action]) -> Vec<(u64, u32)> {
    let pick = |a: &Action| match a {
        Action::Cancel { request, attempt } => Some((request.0, *attempt)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// Memory grants, in MB.
pub fn grants(actions: &[Action]) -> Vec<f64> {
    let pick = |a: &Action| match a {
        Action::SetOptions {
            memory_grant_mb: grant,
            ..
        } => Some(*grant),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}
