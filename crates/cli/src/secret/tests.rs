use super::*;

#[test]
fn a_secret_is_stored_and_a_malformed_file_is_an_error() {
    let dir = std::env::temp_dir().join(format!("hoptiller-secret-{}", std::process::id()));
    let first = load_or_create(&dir).expect("created");
    assert_eq!(load_or_create(&dir).expect("loaded"), first);
    for bytes in [&b"abc"[..], b"", &[b'g'; 64], &[0xff; 64]] {
        fs::write(dir.join(FILE_NAME), bytes).expect("damaged");
        assert!(load_or_create(&dir).is_err(), "{bytes:?}");
    }
    fs::remove_dir_all(&dir).expect("removed");
}
