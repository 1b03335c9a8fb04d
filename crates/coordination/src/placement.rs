//! Placement of classes during a rollout. Routers then enforce the merge of several documents, which must leave each
//! class a machine kind and a zone.

use std::collections::BTreeSet;

use crate::document::{Document, ValidationError};
use crate::version::VersionNumber;

/// Returns the placement settings that are empty in the merge of `proposed` with `merged`, which is the merge of the
/// versions `from` to `to`.
pub(crate) fn placement_conflicts(
    merged: &Document,
    (from, to): (VersionNumber, VersionNumber),
    proposed: &Document,
) -> Vec<ValidationError> {
    let conflict = |path: String| {
        let message = format!(
            "no value is in both {} (versions {from} to {to}) and {} (this change)",
            describe_setting(merged, &path),
            describe_setting(proposed, &path)
        );
        ValidationError { path, message }
    };
    let empty = merged.merge(proposed).empty_placements();
    empty.into_iter().map(conflict).collect()
}

/// Formats the value of a placement setting for messages.
fn describe_setting(document: &Document, path: &str) -> String {
    let format_names =
        |names: Option<&Option<BTreeSet<String>>>| format!("{:?}", names.cloned().flatten());
    match path.split('.').collect::<Vec<_>>()[..] {
        ["classes", class, "kinds"] => format_names(document.classes.get(class).map(|c| &c.kinds)),
        ["classes", class, "zones"] => format_names(document.classes.get(class).map(|c| &c.zones)),
        ["kinds"] => format!("{:?}", document.kinds.keys().collect::<Vec<_>>()),
        _ => format!("{:?}", document.classes.keys().collect::<Vec<_>>()),
    }
}
