//! Findings on engines where everything runs long without a responsible statement.

use hoptiller_policy::{EngineId, Micros};

use crate::engine_slowness::{
    EngineSlowness, MIN_REPORTED_SLOWNESS, Slowness, is_slower_than_others,
};
use crate::findings::Findings;
use crate::interface::{
    Basis, Cause, Decision, EngineStatus, Evidence, Finding, Measure, Subject, Verdict,
};

/// Reports engines that are slower than the others, and clears reports that no longer apply.
pub(crate) fn report_slow_engines(
    now: Micros,
    engines: &[EngineStatus],
    engine_slowness: &EngineSlowness,
    findings: &mut Findings,
    out: &mut Vec<Decision>,
) {
    let speeds: Vec<(EngineId, Slowness)> = engines
        .iter()
        .map(|status| (status.engine, engine_slowness.slowness(now, status.engine)))
        .collect();
    for (engine, slowness) in &speeds {
        let others: Vec<Slowness> = speeds
            .iter()
            .filter(|(other, _)| other != engine)
            .map(|(_, slowness)| *slowness)
            .collect();
        let subject = Subject::Engine(*engine);
        let is_reported = findings.get(&subject).is_some();
        let is_slow = is_slower_than_others(*slowness, &others, is_reported);
        if is_slow && !has_runaway(*engine, findings) {
            findings.report(slow_engine_finding(now, *engine, *slowness), out);
        } else {
            let note = "it is no slower than the others, or others are at fault";
            findings.clear(now, &subject, note, out);
        }
    }
    clear_unlisted_engines(now, engines, findings, out);
}

fn has_runaway(engine: EngineId, findings: &Findings) -> bool {
    findings
        .open()
        .any(|f| f.engine == Some(engine) && f.verdict == Verdict::Runaway)
}

/// Clears findings on engines that are no longer listed.
fn clear_unlisted_engines(
    now: Micros,
    engines: &[EngineStatus],
    findings: &mut Findings,
    out: &mut Vec<Decision>,
) {
    let is_listed = |engine: &EngineId| engines.iter().any(|status| status.engine == *engine);
    let unlisted: Vec<Subject> = findings
        .open()
        .map(|finding| &finding.subject)
        .filter(|subject| matches!(subject, Subject::Engine(engine) if !is_listed(engine)))
        .cloned()
        .collect();
    for subject in unlisted {
        findings.clear(now, &subject, "the engine is not listed any more", out);
    }
}

fn slow_engine_finding(now: Micros, engine: EngineId, slowness: Slowness) -> Finding {
    let evidence = Evidence {
        measure: Measure::Times,
        value: slowness.factor,
        usual: 1.0,
        bound: MIN_REPORTED_SLOWNESS,
        basis: Basis::Class(slowness.samples as u64),
    };
    let subject = Subject::Engine(engine);
    Finding {
        engine: Some(engine),
        note: "what runs there is not at fault for it",
        ..Finding::new(subject, Verdict::Notice, Cause::SlowEngine, now, evidence)
    }
}
