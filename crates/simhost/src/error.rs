//! Errors that end the program.

/// An error for a line that can't be answered. It ends the program.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BatchError {
    /// The line can't be read.
    #[error(transparent)]
    Read(#[from] std::io::Error),
    /// The line is not a valid batch, or the reply can't be serialized.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A sync event refers to an endpoint list that no roster event has declared.
    #[error("sync: `table` {0} was never declared, expected the number of an earlier `roster`")]
    UnknownEndpointList(u64),
    /// A work item has a class that the settings don't contain.
    #[error("workItem: unknown `profile` {name:?}, expected one of {known:?}")]
    UnknownClass {
        /// The unknown class.
        name: String,
        /// The classes of the settings.
        known: Vec<String>,
    },
}
