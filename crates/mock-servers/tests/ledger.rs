//! Tests of the ledger of effects in a file.

use std::fs;
use std::path::PathBuf;

use hoptiller_mock_servers::ledger::Ledger;

/// A file that is removed when the test ends.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new(name: &str) -> Self {
        let name = format!("hoptiller-{}-{name}", std::process::id());
        Self(std::env::temp_dir().join(name))
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

#[test]
fn entries_of_an_earlier_process_are_counted() {
    let file = TemporaryFile::new("earlier");
    let first = Ledger::open(&file.0).expect("the file is created");
    first.post("a").expect("the entry is written");
    let second = Ledger::open(&file.0).expect("the file exists");
    second.post("a").expect("the entry is written");
    second.post("b\nc").expect("the entry is written");
    let expected = [("a".to_owned(), 2), ("b c".to_owned(), 1)];
    assert_eq!(second.postings(), expected.into());
    let text = fs::read_to_string(&file.0).expect("the file can be read");
    assert_eq!(text, "a\na\nb c\n");
}

#[test]
fn a_truncated_line_is_not_counted_and_not_joined_with_the_next() {
    let file = TemporaryFile::new("cut");
    fs::write(&file.0, "a\nb").expect("the file is written");
    let ledger = Ledger::open(&file.0).expect("the file can be read");
    assert_eq!(ledger.postings(), [("a".to_owned(), 1)].into());
    ledger.post("c").expect("the entry is written");
    let text = fs::read_to_string(&file.0).expect("the file can be read");
    assert_eq!(text, "a\nb\nc\n");
}
