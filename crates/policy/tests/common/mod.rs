//! Helpers shared by the integration tests: default settings and constructors of events.
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

pub fn default_settings(classes: Vec<Class>) -> Settings {
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

pub fn endpoint_list(scope: ListScope, engines: &[u32]) -> Event {
    Event::EndpointList(
        scope,
        engines.iter().map(|engine| entry(*engine, 0)).collect(),
    )
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

/// Returns the arrival with changed fields.
pub fn arrival_with(event: Event, change: impl FnOnce(&mut Arrival)) -> Event {
    let Event::Arrival(mut arrival) = event else {
        unreachable!("an arrival")
    };
    change(&mut arrival);
    Event::Arrival(arrival)
}

pub fn keyed_arrival(id: u64, class: usize, valid_until: Micros, key: u64) -> Event {
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

/// Creates a controller with seed 1.
pub fn new_controller(settings: Settings) -> Controller {
    Controller::new(settings, 1).expect("usable settings")
}

/// Returns the outcome with changed fields.
pub fn outcome_with(event: Event, change: impl FnOnce(&mut Outcome)) -> Event {
    let Event::Outcome(mut outcome) = event else {
        unreachable!("an outcome")
    };
    change(&mut outcome);
    Event::Outcome(outcome)
}

/// Handles one batch and returns its actions.
pub fn step(controller: &mut Controller, now: Micros, events: &[Event]) -> Vec<Action> {
    let mut actions = Vec::new();
    controller.handle(now, events, &mut actions);
    actions
}

/// Returns the request and engine of each send.
pub fn sends(actions: &[Action]) -> Vec<(u64, u32)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Send {
                request, engine, ..
            } => Some((request.0, engine.0)),
            _ => None,
        })
        .collect()
}

/// Returns the requests with a final response: `true` if rejected, `false` if failed.
pub fn responses(actions: &[Action]) -> Vec<(u64, bool)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Reject { request, .. } => Some((request.0, true)),
            Action::Fail(request) => Some((request.0, false)),
            _ => None,
        })
        .collect()
}

/// Returns settings under which attempts report progress every second and can be cancelled.
pub fn progress_settings(classes: Vec<Class>) -> Settings {
    let mut settings = Settings {
        progress_interval: S,
        ..default_settings(classes)
    };
    settings.limits.cancel = true;
    settings
}

/// Returns a progress event of an attempt.
pub fn progress(id: u64, attempt: u32, engine: u32, completed_share: f64) -> Event {
    let progress = Progress::Completed(completed_share);
    Event::Progress {
        request: RequestId(id),
        attempt,
        engine: EngineId(engine),
        progress,
    }
}

/// Returns an idempotent class with a long deadline.
pub fn long_class() -> Class {
    Class {
        deadline: 25 * S,
        ..class(Idempotency::Idempotent)
    }
}

/// Returns the request and attempt number of each cancellation.
pub fn cancellations(actions: &[Action]) -> Vec<(u64, u32)> {
    let cancellation = |action: &Action| match action {
        Action::Cancel { request, attempt } => Some((request.0, *attempt)),
        _ => None,
    };
    actions.iter().filter_map(cancellation).collect()
}

/// Returns the memory grants, in MB.
pub fn memory_grants(actions: &[Action]) -> Vec<f64> {
    let grant = |action: &Action| match action {
        Action::SetOptions {
            memory_grant_mb, ..
        } => Some(*memory_grant_mb),
        _ => None,
    };
    actions.iter().filter_map(grant).collect()
}
