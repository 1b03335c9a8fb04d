//! Evaluates Jsonnet text into a JSON value.

use std::path::Path;

use jrsonnet_evaluator::error::ErrorKind;
use jrsonnet_evaluator::manifest::JsonFormat;
use jrsonnet_evaluator::{FileImportResolver, State, Val};

use super::SettingError;

/// Evaluates text that is not in a file and so cannot import relative paths. `name` stands for a file name in errors.
///
/// # Errors
///
/// Returns an error if the text is invalid: its first error, with the line if it is known.
pub fn evaluate(name: &str, text: &str) -> Result<serde_json::Value, SettingError> {
    manifest(name, text, |state| {
        state.evaluate_snippet(name.to_owned(), text.to_owned())
    })
}

/// Evaluates a file. Its imports are relative to it.
///
/// # Errors
///
/// Returns an error if the file cannot be read or its text is invalid: its first error, with the line if it is known.
pub fn evaluate_file(path: &Path) -> Result<serde_json::Value, SettingError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| SettingError {
        place: name.clone(),
        reason: format!("cannot read the file: {error}"),
    })?;
    manifest(&name, &text, |state| state.import(path))
}

fn manifest(
    name: &str,
    text: &str,
    evaluate: impl FnOnce(&State) -> jrsonnet_evaluator::Result<Val>,
) -> Result<serde_json::Value, SettingError> {
    let mut builder = State::builder();
    builder.import_resolver(FileImportResolver::new(Vec::new()));
    let state = builder.build();
    let _entered = state.enter();
    let json = evaluate(&state)
        .and_then(|value| value.manifest(JsonFormat::minify()))
        .map_err(|error| locate(name, text, &error))?;
    serde_json::from_str(&json).map_err(|error| SettingError {
        place: name.to_owned(),
        reason: format!("does not evaluate to JSON: {error}"),
    })
}

/// Converts an error and adds its line: that of the syntax error or of the innermost stack frame.
fn locate(name: &str, text: &str, error: &jrsonnet_evaluator::Error) -> SettingError {
    let line_at = |offset: usize| text.bytes().take(offset).filter(|b| *b == b'\n').count() + 1;
    let line = match error.error() {
        ErrorKind::ImportSyntaxError { error, .. } => Some(line_at(error.location.1 as usize)),
        _ => error.trace().0.iter().find_map(|frame| {
            let location = frame.location.as_ref()?;
            Some(line_at(location.1 as usize))
        }),
    };
    SettingError {
        place: line.map_or_else(|| name.to_owned(), |line| format!("{name}:{line}")),
        reason: error.error().to_string(),
    }
}
