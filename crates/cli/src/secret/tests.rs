use super::*;

#[test]
fn a_secret_is_kept_and_a_damaged_one_is_an_error() {
    let dir = std::env::temp_dir().join(format!("hoptiller-secret-{}", std::process::id()));
    let first = load_or_make(&dir).expect("made");
    assert_eq!(load_or_make(&dir).expect("kept"), first);
    for bytes in [&b"abc"[..], b"", &[b'g'; 64], &[0xff; 64]] {
        fs::write(dir.join("secret"), bytes).expect("damaged");
        assert!(load_or_make(&dir).is_err(), "{bytes:?}");
    }
    fs::remove_dir_all(&dir).expect("removed");
}
