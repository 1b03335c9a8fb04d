//! The error of a single setting.

use serde::Serialize;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, thiserror::Error)]
#[error("{place}: {reason}")]
pub struct SettingError {
    /// File and line, or file and key path: `a.jsonnet: classes[1].patience`.
    pub place: String,
    /// The fault and the values that would be valid.
    #[serde(rename = "what")]
    pub reason: String,
}
