use super::*;
use std::time::SystemTime;

#[test]
fn any_altered_character_is_no_token() {
    let key = Key::new(b"secret", "r1");
    let id = QueryId::new(SystemTime::UNIX_EPOCH, 7, "lifelife");
    for (phase, repeat) in [
        (Phase::Waiting, Repeat::Unsafe),
        (Phase::Rows, Repeat::Safe),
    ] {
        let token = Token {
            id: id.clone(),
            page: 12,
            known: Known { repeat, phase },
        };
        let path = key.path(&token);
        assert_eq!(key.read(&path), Ok(token.clone()));
        for at in 0..path.len() {
            for other in ['0', '1', 'a', 's', 'u', '/', '_', 'A'] {
                let mut altered = path.clone();
                altered.replace_range(at..=at, &other.to_string());
                assert!(altered == path || key.read(&altered).is_err(), "{altered}");
            }
        }
        assert!(key.read(&path[..path.len() - 1]).is_err());
        assert!(key.read(&format!("{path}0")).is_err());
        assert!(Key::new(b"secret", "r2").read(&path).is_err());
        assert!(Key::new(b"other", "r1").read(&path).is_err());
    }
    assert_eq!(key.read_course(&key.course_path(&id)), Ok(id));
    assert!(
        key.read_course("/v1/query/19700101_000000_00007_lifelife/x")
            .is_err()
    );
}
