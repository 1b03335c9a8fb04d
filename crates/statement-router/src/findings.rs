//! Findings of the runaway detector, in words.

use hoptiller_runaway::{Finding, Subject};

use crate::context::RouterContext;
use crate::settings::Settings;

/// What a finding is about, for people.
pub(crate) fn describe_subject(context: &RouterContext, finding: &Finding) -> String {
    match &finding.subject {
        Subject::Statement(name) => format!("statement {name}"),
        Subject::Fingerprint(fingerprint) => format!("kind {fingerprint}"),
        Subject::Engine(engine) => format!("engine {}", context.engine_name(*engine)),
    }
}

/// Whether findings about this class are reported.
pub(crate) fn is_reported(settings: &Settings, finding: &Finding) -> bool {
    finding
        .class
        .is_none_or(|class| settings.runaways.enforcement[class].name)
}
