//! Owns what makes settings impossible together, each named with the rule that it would break.

use std::time::Duration;

use super::{Problem, RepeatSettings, Settings};

pub(super) fn check(name: &str, s: &Settings, problems: &mut Vec<Problem>) {
    let mut note = |path: String, what: String| {
        problems.push(Problem {
            place: format!("{name}: {path}"),
            what,
        });
    };
    if s.router.of == 0 || s.router.index >= s.router.of {
        note(
            "router.index".into(),
            format!("must be under router.of, {}", s.router.of),
        );
    }
    for (at, class) in s.classes.iter().enumerate() {
        let path = |key: &str| format!("classes[{at}].{key}");
        if s.classes[..at].iter().any(|c| c.name == class.name) {
            note(path("name"), format!("{:?} is given twice", class.name));
        }
        let name_ok = class
            .name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
        if !name_ok {
            note(
                path("name"),
                "only letters, digits, '-', '_' and '.' can stand in a client tag".into(),
            );
        }
        if class.aim.is_zero() || class.threads == 0.0 {
            note(path("aim"), "aim and threads must be over 0".into());
        }
        if class.patience < class.aim {
            note(
                path("patience"),
                "is shorter than the aim: every answer would come late or never".into(),
            );
        }
        if class.patience < LEAST_PATIENCE {
            note(
                path("patience"),
                format!("is under {LEAST_PATIENCE:?}: no final answer could come in time"),
            );
        }
        if class.late_worth > 1.0 {
            note(path("late_worth"), "is a part of the worth, 0 to 1".into());
        }
        if class.holds && class.repeat == RepeatSettings::Safe {
            note(
                path("holds"),
                "a class that holds tables while it loads them can't be safe to repeat".into(),
            );
        }
    }
    if s.engines.max_attempts == 0 {
        note("engines.max_attempts".into(), "must be 1 or more".into());
    }
    if s.engines.budget.is_some_and(|b| b.within.is_zero()) {
        note("engines.budget.within".into(), "must be over 0".into());
    }
    if !s.engines.notes_every.is_zero() && !s.engines.cancel {
        note(
            "engines.notes_every".into(),
            "notes only serve where engines.cancel is true".into(),
        );
    }
    if s.engines.tells_in_flight && !s.engines.reports {
        note(
            "engines.tells_in_flight".into(),
            "needs engines.reports".into(),
        );
    }
    for (class, acts) in s.classes.iter().zip(&s.runaways.acts) {
        let path = || format!("runaways: class {:?}", class.name);
        if acts.end && !s.engines.ends {
            note(path(), "'end' only works where engines.ends is true".into());
        }
        if acts.pause && !s.engines.pauses {
            note(
                path(),
                "'pause' only works where engines.pauses is true".into(),
            );
        }
        if acts.lower && !(acts.hold && s.engines.priorities) {
            note(
                path(),
                "'lower' only works with 'hold' and where engines.priorities is true".into(),
            );
        }
        if !acts.name && (acts.hold || acts.end || acts.pause) {
            note(
                path(),
                "what is held, paused or ended must be named too: add 'name'".into(),
            );
        }
    }
    let w = &s.runaways;
    if w.kinds < 100 || w.kinds > 100_000 {
        note("runaways.kinds".into(), "must be 100 to 100000".into());
    }
    if w.pause_for.is_zero() || w.save_every < Duration::from_secs(1) {
        note(
            "runaways".into(),
            "pause_for must be over 0, save_every 1s or more".into(),
        );
    }
    if s.router
        .admin
        .is_some_and(|admin| admin == s.router.listen && admin.port() != 0)
    {
        note(
            "router.admin".into(),
            "is router.listen: administrators need an address of their own".into(),
        );
    }
    if let Some(a) = &s.agreement {
        if a.permit < Duration::from_millis(500) || a.drift > 100_000 {
            note(
                "agreement.permit".into(),
                "must be 500ms or more, drift 100000 millionths or less".into(),
            );
        }
        if a.ask_every.is_zero() || a.ask_every > a.permit / 4 {
            note(
                "agreement.ask_every".into(),
                "must be over 0, and a quarter of the permit at most".into(),
            );
        }
    }
    let r = &s.rules;
    if r.start_capacity > 1.0 || r.start_capacity == 0.0 {
        note(
            "rules.start_capacity".into(),
            "is a part of the capacity, over 0 and up to 1".into(),
        );
    }
    if r.overload < 1.0 || r.fall.is_zero() {
        note(
            "rules.overload".into(),
            "must be 1 or more, for a rules.fall over 0".into(),
        );
    }
    let d = &s.discovery;
    if d.every < Duration::from_millis(10) || d.state_every < Duration::from_millis(10) {
        note(
            "discovery.every".into(),
            "looks must be 10ms or more apart".into(),
        );
    }
    let l = &s.limits;
    if l.statements == 0 || l.connections == 0 || l.statement_bytes == 0 || l.page_bytes == 0 {
        note(
            "limits".into(),
            "statements, connections, statement_bytes and page_bytes must be over 0".into(),
        );
    }
    if l.incoming_bytes < l.statement_bytes {
        let what = "is under limits.statement_bytes: not one such statement could come in";
        note("limits.incoming_bytes".into(), what.into());
    }
    if l.held_bytes < l.page_bytes {
        note(
            "limits.held_bytes".into(),
            "is under limits.page_bytes: not one page could be held".into(),
        );
    }
    if l.abandon_after < l.long_poll * 2 {
        let what = "must be twice limits.long_poll or more: a client that polls as it should would be dropped";
        note("limits.abandon_after".into(), what.into());
    }
    if l.long_poll > Duration::from_secs(60) {
        note(
            "limits.long_poll".into(),
            "is over a minute: clients and proxies between give up".into(),
        );
    }
    if l.tick.is_zero() || l.tick > Duration::from_millis(100) {
        note(
            "limits.tick".into(),
            "must be over 0 and up to 100ms".into(),
        );
    }
}

/// Less leaves no time for a decision, an answer and its way back.
const LEAST_PATIENCE: Duration = Duration::from_millis(500);
