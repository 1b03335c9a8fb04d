//! Comparison of the program's output for recorded input with fixtures, for a router's trace and the example document.

use std::path::{Path, PathBuf};
use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hoptiller");

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn assert_prints(name: &str, args: &[&str]) {
    let output = Command::new(PROGRAM).args(args).output().expect("it runs");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        std::fs::write(fixture(name), &output.stdout).expect("the fixture can be written");
    }
    let pinned = std::fs::read_to_string(fixture(name)).expect("the fixture exists");
    assert_eq!(
        pinned,
        String::from_utf8_lossy(&output.stdout),
        "hoptiller {}",
        args.join(" ")
    );
}

#[test]
fn a_recorded_trace_gives_the_pinned_table() {
    let trace = fixture("router-trace.txt");
    assert_prints("beliefs.txt", &["beliefs", trace.to_str().expect("UTF-8")]);
}

#[test]
fn the_digest_of_the_example_document_is_unchanged() {
    let example =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/fleet-document.jsonnet");
    let output = Command::new(PROGRAM)
        .arg("check")
        .arg(example)
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        text.trim_end().ends_with("3 classes, digest 1c00f9b6eef1"),
        "{text}"
    );
}
