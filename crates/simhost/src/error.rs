//! Why a line can't be answered.

/// Why a line can't be answered: the program ends with it.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BatchError {
    /// The line can't be read.
    #[error(transparent)]
    Read(#[from] std::io::Error),
    /// The line is no batch, or the reply is no JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A sync names a list that no roster event has declared.
    #[error("sync: `table` {0} was never declared")]
    UnknownTable(u64),
    /// A work item names a class that the settings don't have.
    #[error("workItem: unknown `profile` {0:?}")]
    UnknownProfile(String),
}
