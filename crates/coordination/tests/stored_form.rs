//! Compares the stored and transmitted form of commands, of the replicated state and of documents with recorded bytes:
//! renaming a type or a field must not change what replicas store. `UPDATE_FIXTURES=1` rewrites the fixtures; only a
//! deliberate change of the form justifies that.

use std::fmt::Write as _;
use std::path::PathBuf;

use hoptiller_coordination::{Command, CommandResponse, ConfigState, Document};

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn read(name: &str) -> String {
    std::fs::read_to_string(fixture(name)).expect("the fixture exists")
}

fn assert_unchanged(name: &str, actual: &str) {
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        std::fs::write(fixture(name), actual).expect("the fixture can be written");
    }
    assert_eq!(read(name), actual, "the form of {name} has changed");
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("the value can be serialized")
}

fn response_line(response: &CommandResponse) -> String {
    match response {
        CommandResponse::Proposed(result) => format!("put {}", json(result)),
        CommandResponse::LeaseGranted(granted) => format!("granted {}", json(granted)),
        CommandResponse::NoteRecorded(result) => format!("noted {}", json(result)),
        CommandResponse::InForce(number) => format!("settled {number}"),
        CommandResponse::UnknownVersion => "ahead".to_owned(),
        CommandResponse::NoVersion => "empty".to_owned(),
        CommandResponse::TooManyHolders => "crowded".to_owned(),
        CommandResponse::LeaseReleased => "given back".to_owned(),
    }
}

#[test]
fn stored_commands_are_written_with_the_same_bytes_and_lead_to_the_same_state() {
    let mut config = ConfigState::default();
    let (mut commands, mut responses) = (String::new(), String::new());
    for line in read("acts.jsonl").lines() {
        let command: Command = serde_json::from_str(line).expect("a stored command can be read");
        let _ = writeln!(commands, "{}", json(&command));
        let _ = writeln!(responses, "{}", response_line(&config.apply(command)));
    }
    assert_unchanged("acts.jsonl", &commands);
    assert_unchanged("answers.txt", &responses);
    assert_unchanged("state.json", &json(&config));
    let restored: ConfigState =
        serde_json::from_str(&read("state.json")).expect("a stored state can be read");
    assert_eq!(restored, config);
}

#[test]
fn document_bytes_and_digests_are_unchanged() {
    let text = read("state.json");
    let state: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let mut documents = String::new();
    for version in state["course"].as_array().expect("versions") {
        let bytes = version["document"].to_string();
        let document = Document::from_json(bytes.as_bytes()).expect("the document is valid");
        assert_eq!(version["head"]["digest"], document.digest());
        let _ = writeln!(
            documents,
            "{} {}",
            document.digest(),
            String::from_utf8_lossy(&document.to_json())
        );
    }
    assert_unchanged("documents.txt", &documents);
}
