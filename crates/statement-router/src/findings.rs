//! Descriptions of the runaway detector's findings.

use hoptiller_runaway::{Finding, Subject};

use crate::context::RouterContext;
use crate::settings::Settings;

/// Returns a readable description of a finding's subject.
pub(crate) fn describe_subject(context: &RouterContext, finding: &Finding) -> String {
    match &finding.subject {
        Subject::Statement(name) => format!("statement {name}"),
        Subject::Fingerprint(fingerprint) => format!("kind {fingerprint}"),
        Subject::Engine(engine) => format!("engine {}", context.engine_name(*engine)),
    }
}

/// Returns whether a finding is reported: the settings of its class can disable that.
pub(crate) fn is_reported(settings: &Settings, finding: &Finding) -> bool {
    finding
        .class
        .is_none_or(|class| settings.runaways.enforcement[class].report)
}
