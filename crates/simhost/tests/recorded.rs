//! Replays a recorded exchange of the simulator's protocol and compares the replies byte by byte.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

#[test]
fn recorded_input_gives_the_recorded_replies() {
    let input = std::fs::File::open(fixture("input.jsonl")).expect("the fixture exists");
    let output = Command::new(env!("CARGO_BIN_EXE_hoptiller-simhost"))
        .stdin(Stdio::from(input))
        .output()
        .expect("hoptiller-simhost starts");
    assert!(output.status.success());
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        std::fs::write(fixture("output.jsonl"), &output.stdout)
            .expect("the fixture can be written");
    }
    let recorded = std::fs::read_to_string(fixture("output.jsonl")).expect("the fixture exists");
    for action in [
        "handOff",
        "allot",
        "busy",
        "endFailed",
        "withdraw",
        "askLoad",
        "notifyMe",
        "streamChanges",
    ] {
        assert!(
            recorded.contains(&format!("{{\"{action}\"")),
            "no {action} in the recorded replies"
        );
    }
    assert_eq!(recorded, String::from_utf8_lossy(&output.stdout));
}
