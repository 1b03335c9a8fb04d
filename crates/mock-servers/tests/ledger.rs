//! The ledger of effects in a file that outlives its process.

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
fn entries_of_an_earlier_process_count() {
    let file = TemporaryFile::new("earlier");
    let first = Ledger::open(&file.0).expect("the file is created");
    first.post("a").expect("it is written");
    let second = Ledger::open(&file.0).expect("the file is there");
    second.post("a").expect("it is written");
    second.post("b\nc").expect("it is written");
    let expected = [("a".to_owned(), 2), ("b c".to_owned(), 1)];
    assert_eq!(second.postings(), expected.into());
    let text = fs::read_to_string(&file.0).expect("the file can be read");
    assert_eq!(text, "a\na\nb c\n");
}

#[test]
fn a_line_that_a_crash_cut_short_does_not_count_and_joins_no_other() {
    let file = TemporaryFile::new("cut");
    fs::write(&file.0, "a\nb").expect("the file is written");
    let ledger = Ledger::open(&file.0).expect("the file can be read");
    assert_eq!(ledger.postings(), [("a".to_owned(), 1)].into());
    ledger.post("c").expect("it is written");
    let text = fs::read_to_string(&file.0).expect("the file can be read");
    assert_eq!(text, "a\nb\nc\n");
}
