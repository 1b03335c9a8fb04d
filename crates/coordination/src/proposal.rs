//! Proposals of new versions, and the reasons for their rejection.

use serde::{Deserialize, Serialize};

use crate::document::{Document, ValidationError};
use crate::version::VersionNumber;

/// Maximum size of a proposal's name, author and reason, in bytes each.
const MAX_TEXT_BYTES: usize = 512;

/// A proposed version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The name of the change, chosen by its author: the idempotency key of the proposal.
    #[serde(rename = "change")]
    pub change_name: String,
    /// The latest version that the author knew; `None` accepts any latest version.
    pub base: Option<VersionNumber>,
    /// The author of the change.
    #[serde(rename = "by")]
    pub author: String,
    /// The time of the proposal by the author's clock, in ms since 1970.
    #[serde(rename = "at")]
    pub proposed_at_ms: u64,
    /// The reason for the change.
    #[serde(rename = "why")]
    pub reason: String,
    /// The configuration.
    pub document: Document,
}

impl Proposal {
    /// Returns all errors of the document and of the texts that describe the change.
    pub(crate) fn validation_errors(&self) -> Vec<ValidationError> {
        let mut errors = self.document.validation_errors();
        for (path, text) in [
            ("change", &self.change_name),
            ("by", &self.author),
            ("why", &self.reason),
        ] {
            if text.is_empty() || text.len() > MAX_TEXT_BYTES {
                errors.push(ValidationError {
                    path: path.to_owned(),
                    message: format!(
                        "must be 1 to {MAX_TEXT_BYTES} bytes long; found {}",
                        text.len()
                    ),
                });
            }
        }
        errors
    }
}

/// The reason for the rejection of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "refused")]
pub enum Rejection {
    /// The proposal is invalid.
    #[error("the proposal is invalid:{}", format_errors(errors))]
    #[serde(rename = "flawed")]
    Invalid {
        /// All errors of the proposal.
        #[serde(rename = "flaws")]
        errors: Vec<ValidationError>,
    },
    /// Another version was proposed after the base of this one.
    #[error("the latest version is {latest} now; review it and propose the change again")]
    Outdated {
        /// The latest version.
        #[serde(rename = "last")]
        latest: VersionNumber,
    },
    /// Too many versions are being rolled out.
    #[error("{pending} changes are being rolled out already; try again later")]
    #[serde(rename = "busy")]
    TooManyPending {
        /// The number of versions that are not in force yet.
        pending: usize,
    },
    /// A class would have no placement during the rollout.
    #[error(
        "a class would have no placement during the rollout:{}",
        format_errors(conflicts)
    )]
    #[serde(rename = "nowhere")]
    NoPlacement {
        /// The settings in conflict, with both values.
        #[serde(rename = "places")]
        conflicts: Vec<ValidationError>,
    },
    /// Another version has the same change name, but another document.
    #[error("version {number} has the same change name, but another document")]
    #[serde(rename = "reused")]
    NameReused {
        /// The number of that version.
        number: VersionNumber,
    },
}

fn format_errors(errors: &[ValidationError]) -> String {
    errors.iter().map(|error| format!("\n  {error}")).collect()
}
