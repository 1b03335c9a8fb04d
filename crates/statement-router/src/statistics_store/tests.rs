use super::*;

#[test]
fn a_failed_save_leaves_the_previous_file() {
    let dir = std::env::temp_dir().join(format!("hoptiller-statistics-{}", std::process::id()));
    let file = dir.join(FILE_NAME);
    let temporary = dir.join(format!("{FILE_NAME}.new"));
    let store = StatisticsStore::new(&dir);
    store.save(b"first");
    assert_eq!(fs::read(&file).expect("written"), b"first");
    // A directory in place of the temporary file makes the save fail.
    fs::create_dir(&temporary).expect("made");
    store.save(b"second");
    assert!(store.is_failing.get());
    assert_eq!(fs::read(&file).expect("kept"), b"first");
    fs::remove_dir(&temporary).expect("removed");
    store.save(b"third");
    assert!(!store.is_failing.get());
    assert_eq!(fs::read(&file).expect("written"), b"third");
    fs::remove_dir_all(&dir).expect("removed");
}
