//! Owns the evaluation of Jsonnet text into a JSON value.

use std::path::Path;

use jrsonnet_evaluator::manifest::JsonFormat;
use jrsonnet_evaluator::{FileImportResolver, State, Val};

use super::Problem;

/// Evaluates a text that is in no file; it can import nothing by a relative path.
pub fn evaluate(name: &str, text: &str) -> Result<serde_json::Value, Problem> {
    finish(name, text, |state| {
        state.evaluate_snippet(name.to_owned(), text.to_owned())
    })
}

/// Evaluates a file. Its imports are relative to it.
pub fn evaluate_file(path: &Path) -> Result<serde_json::Value, Problem> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| Problem {
        place: name.clone(),
        what: format!("can't be read: {e}"),
    })?;
    finish(&name, &text, |state| state.import(path))
}

fn finish(
    name: &str,
    text: &str,
    evaluate: impl FnOnce(&State) -> jrsonnet_evaluator::Result<Val>,
) -> Result<serde_json::Value, Problem> {
    let mut builder = State::builder();
    builder.import_resolver(FileImportResolver::new(Vec::new()));
    let state = builder.build();
    let _entered = state.enter();
    match evaluate(&state).and_then(|value| value.manifest(JsonFormat::minify())) {
        Ok(json) => serde_json::from_str(&json).map_err(|e| Problem {
            place: name.to_owned(),
            what: format!("evaluates to no JSON: {e}"),
        }),
        Err(e) => Err(place_of(name, text, &e)),
    }
}

/// The line of an error: of its syntax, or of the innermost frame that lies in this file.
fn place_of(name: &str, text: &str, e: &jrsonnet_evaluator::Error) -> Problem {
    use jrsonnet_evaluator::error::ErrorKind;
    let what = e.error().to_string();
    let line_of = |offset: usize| text.bytes().take(offset).filter(|b| *b == b'\n').count() + 1;
    let line = match e.error() {
        ErrorKind::ImportSyntaxError { error, .. } => Some(line_of(error.location.1 as usize)),
        _ => e.trace().0.iter().find_map(|frame| {
            let location = frame.location.as_ref()?;
            Some(line_of(location.1 as usize))
        }),
    };
    let place = line.map_or_else(|| name.to_owned(), |l| format!("{name}:{l}"));
    Problem { place, what }
}
