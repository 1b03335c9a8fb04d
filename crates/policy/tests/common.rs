//! Shared helpers of the module's tests: settings and short forms of events.
#![allow(dead_code)]

use hoptiller_policy::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub fn class(effect: Effect) -> Class {
    Class {
        aim: S,
        aim_stretch: 2.0,
        deadline: 5 * S,
        effect,
        in_turn: false,
        late_worth: 0.3,
        worth: 1.0,
        zones: None,
        kinds: None,
        threads: 1.0,
        holds: false,
    }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        gateways: 1,
        index: 0,
        tick: 5 * MS,
        classes,
        cores: vec![4.0, 4.0],
        tenants: vec![],
        over_share_worth: 1.0,
        reports: true,
        progress_every: 0,
        most_grant: 0.0,
        overcommits: false,
        tells_in_flight: true,
        bills: false,
        probe_price: 0.0,
        marks_retry: false,
        discovery: Discovery::Push,
        limits: Limits {
            max_attempts: 3,
            max_open: 0,
            second_copies: false,
            retry_after: true,
            max_retry_after: S,
            priorities: false,
            probes: false,
            cancel: false,
        },
        rules: Rules {
            start_capacity: 0.3,
            ramp_time: 10 * S,
            overload_factor: 3.0,
            fall: S,
            order_pause: 500 * MS,
            retry_budget: None,
            ask_within: 10 * S,
        },
    }
}

pub fn entry(engine: u32, kind: usize) -> Entry {
    Entry {
        engine: EngineId(engine),
        zone: Some(0),
        kind: Some(kind),
        cell: 0,
        ready_at: 0,
        readiness: Readiness::Up,
    }
}

pub fn list(scope: Scope, engines: &[u32]) -> Event {
    Event::List(scope, engines.iter().map(|e| entry(*e, 0)).collect())
}

pub fn arrival(id: u64, class: usize, valid_until: Micros) -> Event {
    Event::Arrival(Arrival {
        request: RequestId(id),
        class,
        tenant: None,
        key: None,
        valid_until,
        guess: None,
        want_mb: 0.0,
        group: None,
        retry: false,
        kind: None,
    })
}

pub fn keyed(id: u64, class: usize, valid_until: Micros, key: u64) -> Event {
    match arrival(id, class, valid_until) {
        Event::Arrival(a) => Event::Arrival(Arrival { key: Some(KeyId(key)), ..a }),
        other => other,
    }
}

pub fn outcome(id: u64, hop: u32, engine: u32, ending: Ending) -> Event {
    Event::Outcome(Outcome {
        request: RequestId(id),
        hop,
        engine: EngineId(engine),
        ending,
        elapsed: 100 * MS,
        terminal: ending == Ending::Good,
        work: None,
        report: None,
    })
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
            Action::Send { request, engine, .. } => Some((request.0, engine.0)),
            _ => None,
        })
        .collect()
}

/// Refused (true) and failed (false) requests.
pub fn answers(actions: &[Action]) -> Vec<(u64, bool)> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::Refuse { request, .. } => Some((request.0, true)),
            Action::Fail(request) => Some((request.0, false)),
            _ => None,
        })
        .collect()
}
