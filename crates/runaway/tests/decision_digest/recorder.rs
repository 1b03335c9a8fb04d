//! A recorder that digests the detector's output.

use std::collections::BTreeMap;

use hoptiller_policy::{Hold, HoldTarget};
use hoptiller_runaway::*;

/// A digest of the recorded output, and the number of occurrences of each label of a decision or finding.
pub struct Recorder {
    hasher: blake3::Hasher,
    counts: BTreeMap<String, u64>,
}

impl Recorder {
    pub fn new(counts: BTreeMap<String, u64>) -> Recorder {
        Recorder {
            hasher: blake3::Hasher::new(),
            counts,
        }
    }

    pub fn digest(&self) -> String {
        self.hasher.finalize().to_hex()[..32].to_owned()
    }

    pub fn into_counts(self) -> BTreeMap<String, u64> {
        self.counts
    }

    pub fn add_bytes(&mut self, bytes: &[u8]) {
        self.hasher.update(bytes);
    }

    pub fn add_number(&mut self, number: u64) {
        self.hasher.update(&number.to_le_bytes());
    }

    fn add_text(&mut self, text: &str) {
        self.add_number(text.len() as u64);
        self.hasher.update(text.as_bytes());
    }

    fn add_optional(&mut self, number: Option<u64>) {
        self.add_number(u64::from(number.is_some()));
        self.add_number(number.unwrap_or(0));
    }

    fn add_json(&mut self, value: &impl serde::Serialize) -> String {
        let text = serde_json::to_string(value).expect("plain data");
        self.add_text(&text);
        text
    }

    fn count(&mut self, label: impl Into<String>) {
        *self.counts.entry(label.into()).or_default() += 1;
    }

    fn add_finding(&mut self, finding: &Finding) {
        self.add_number(finding.id);
        match &finding.subject {
            Subject::Statement(name) => self.add_text(name),
            Subject::Fingerprint(fingerprint) => self.add_number(fingerprint.0),
            Subject::Engine(engine) => self.add_number(u64::from(engine.0)),
        }
        let verdict = self.add_json(&finding.verdict);
        let cause = self.add_json(&finding.cause);
        self.count(format!("{verdict} {cause}"));
        self.add_optional(finding.class.map(|class| class as u64));
        self.add_optional(finding.fingerprint.map(|fingerprint| fingerprint.0));
        self.add_text(&finding.label);
        self.add_optional(finding.engine.map(|engine| u64::from(engine.0)));
        for time in [finding.started, finding.since, finding.at] {
            self.add_number(time);
        }
        let evidence = &finding.evidence;
        let measure = self.add_json(&evidence.measure);
        self.count(measure);
        for value in [evidence.value, evidence.usual, evidence.bound] {
            self.add_number(value.to_bits());
        }
        self.add_json(&evidence.basis);
        self.add_text(&evidence.to_string());
        for name in &finding.blocked_names {
            self.add_text(name);
        }
        self.add_number(finding.blocked_count as u64);
        self.add_text(finding.note);
        self.count(finding.note);
    }

    fn add_hold(&mut self, hold: &Hold) {
        let target = match hold.target {
            HoldTarget::Kind(number) => [0, number],
            HoldTarget::Group(number) => [1, number],
        };
        self.count(if target[0] == 0 { "hold" } else { "exclusion" });
        target
            .into_iter()
            .for_each(|number| self.add_number(number));
        self.add_number(u64::from(hold.max_in_flight));
        self.add_number(u64::from(hold.low_priority));
        for engine in &hold.excluded_engines {
            self.add_number(u64::from(engine.0));
        }
    }

    pub fn add_decision(&mut self, decision: &Decision) {
        let (label, attempt) = match decision {
            Decision::Found(finding) => return self.add_finding(finding),
            Decision::Hold(hold) => return self.add_hold(hold),
            Decision::Pause(attempt) => ("pause", attempt),
            Decision::Resume(attempt) => ("resume", attempt),
            // The label is part of the recorded digests.
            Decision::Kill(attempt) => ("end", attempt),
        };
        self.count(label);
        self.add_text(label);
        self.add_number(attempt.statement);
        self.add_number(u64::from(attempt.number));
    }

    /// Adds the detector's state that is visible apart from its decisions.
    pub fn add_state(&mut self, detector: &RunawayDetector, classes: &[Class]) {
        let counts = detector.tracked_counts();
        for count in [
            counts.fingerprints,
            counts.attempts,
            counts.remote_statements,
        ] {
            self.add_number(count as u64);
        }
        self.add_number(detector.next_detection_at());
        for finding in detector.open_findings().chain(detector.cleared_findings()) {
            self.add_number(finding.id);
            self.add_number(finding.at);
            self.add_number(finding.since);
            self.add_number(finding.evidence.value.to_bits());
            self.add_number(finding.blocked_count as u64);
        }
        for (fingerprint, hold) in detector.holds() {
            if *fingerprint == FingerprintId::unknown(&classes[hold.class].name) {
                self.count("unknown fingerprints held together");
            }
            self.add_json(&(fingerprint, hold));
            self.add_number(u64::from(hold.runaways));
        }
        for (group, engines) in detector.excluded_engines() {
            self.add_number(*group);
            for engine in engines {
                self.add_number(u64::from(engine.0));
            }
        }
    }
}
