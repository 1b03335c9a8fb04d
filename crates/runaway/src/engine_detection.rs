//! Detection of engines on which everything runs long without a statement at fault for it.

use hoptiller_policy::{EngineId, Micros};

use crate::detector::RunawayDetector;
use crate::engine_speed::{SLOW, Slowness, stands_out};
use crate::interface::{Basis, Cause, Evidence, Finding, Measure, Subject, Verdict};

impl RunawayDetector {
    /// Reports engines that are slower than the others, and clears the reports that no longer hold.
    pub(crate) fn detect_slow_engines(&mut self, now: Micros) {
        let engines: Vec<(EngineId, Slowness)> = self
            .engines
            .iter()
            .map(|e| (e.engine, self.engine_slowness(now, e.engine, None)))
            .collect();
        for (engine, slowness) in &engines {
            let subject = Subject::Engine(*engine);
            let others: Vec<Slowness> = engines
                .iter()
                .filter(|other| other.0 != *engine)
                .map(|other| other.1)
                .collect();
            let at_fault = |f: &Finding| f.engine == Some(*engine) && f.verdict == Verdict::Runaway;
            let is_reported = self.findings.get(&subject).is_some();
            if !stands_out(*slowness, &others, is_reported) || self.findings.open().any(at_fault) {
                self.findings.clear(
                    now,
                    &subject,
                    "it is no slower than the others, or others are at fault",
                    &mut self.decisions,
                );
                continue;
            }
            let found = slow_engine_finding(now, *engine, *slowness);
            self.findings.report(found, &mut self.decisions);
        }
        self.clear_unlisted_engines(now);
    }

    /// Clears findings on engines that are not listed any more.
    fn clear_unlisted_engines(&mut self, now: Micros) {
        let is_listed = |engine: &EngineId| self.engines.iter().any(|e| e.engine == *engine);
        let unlisted: Vec<Subject> = self
            .findings
            .open()
            .map(|f| f.subject.clone())
            .filter(|s| matches!(s, Subject::Engine(engine) if !is_listed(engine)))
            .collect();
        for subject in unlisted {
            self.findings.clear(
                now,
                &subject,
                "the engine is not listed any more",
                &mut self.decisions,
            );
        }
    }
}

fn slow_engine_finding(now: Micros, engine: EngineId, slowness: Slowness) -> Finding {
    Finding {
        id: 0,
        subject: Subject::Engine(engine),
        verdict: Verdict::Notice,
        cause: Cause::SlowEngine,
        class: None,
        fingerprint: None,
        label: String::new(),
        engine: Some(engine),
        started: now,
        since: now,
        at: now,
        evidence: Evidence {
            measure: Measure::Times,
            figure: slowness.factor,
            usual: 1.0,
            bound: SLOW,
            basis: Basis::Class(slowness.samples as u64),
        },
        blocks: Vec::new(),
        blocked: 0,
        note: "what runs there is not at fault for it",
    }
}
