use super::*;

#[test]
fn a_writing_that_fails_leaves_the_old_file() {
    let dir = std::env::temp_dir().join(format!("hoptiller-learnt-{}", std::process::id()));
    let learnt = Learnt::new(&dir);
    learnt.write(b"one");
    assert_eq!(fs::read(dir.join(NAME)).expect("written"), b"one");
    // The place beside it is taken by a folder.
    fs::create_dir(dir.join(format!("{NAME}.new"))).expect("made");
    learnt.write(b"two");
    assert!(learnt.failing.get());
    assert_eq!(fs::read(dir.join(NAME)).expect("kept"), b"one");
    fs::remove_dir(dir.join(format!("{NAME}.new"))).expect("removed");
    learnt.write(b"three");
    assert!(!learnt.failing.get());
    assert_eq!(fs::read(dir.join(NAME)).expect("written"), b"three");
    fs::remove_dir_all(&dir).expect("removed");
}
