//! The logging and counting of the runaway detector's findings.

use hoptiller_runaway::{Finding, Verdict};

use super::Service;
use crate::findings::{describe_subject, is_reported};

impl Service {
    /// Logs a finding and counts its verdict.
    pub(super) fn log_finding(&self, finding: &Finding) {
        let settings = self.settings();
        if !is_reported(&settings, finding) {
            return;
        }
        let class = finding
            .class
            .map_or("", |class| &settings.classes[class].name);
        let cause = finding.cause.description();
        let verdict = format!("{:?}", finding.verdict).to_lowercase();
        if finding.verdict != Verdict::Suspect {
            metrics::counter!("hoptiller_runaway_verdicts_total",
                "class" => class.to_owned(), "cause" => cause, "verdict" => verdict.clone())
            .increment(1);
        }
        let subject = describe_subject(&self.context, finding);
        let engine = finding
            .engine
            .map(|engine| self.context.engine_name(engine));
        let engine = engine.unwrap_or_default();
        let seen = finding.evidence.to_string();
        let (blocked, note) = (finding.blocked_count, finding.note);
        match finding.verdict {
            Verdict::Runaway | Verdict::Notice => {
                tracing::warn!(%subject, verdict, cause, class, engine, seen, blocked, note, "runaway finding");
            }
            _ => {
                tracing::info!(%subject, verdict, cause, class, engine, seen, blocked, note, "runaway finding");
            }
        }
    }
}
