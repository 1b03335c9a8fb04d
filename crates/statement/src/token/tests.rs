use super::*;
use std::time::SystemTime;

#[test]
fn any_altered_character_invalidates_a_path() {
    let key = TokenKey::new(b"secret", "r1");
    let id = QueryId::new(SystemTime::UNIX_EPOCH, 7, "k3v9xq2m");
    for (phase, idempotency) in [
        (Phase::Waiting, Idempotency::NotIdempotent),
        (Phase::RowsDelivered, Idempotency::Idempotent),
    ] {
        let token = PageToken {
            id: id.clone(),
            page: 12,
            recovery: RecoveryState { idempotency, phase },
        };
        let path = key.page_path(&token);
        assert_eq!(key.parse_page_path(&path), Ok(token.clone()));
        for at in 0..path.len() {
            for other in ['0', '1', 'a', 's', 'u', '/', '_', 'A'] {
                let mut altered = path.clone();
                altered.replace_range(at..=at, &other.to_string());
                assert!(
                    altered == path || key.parse_page_path(&altered).is_err(),
                    "{altered}"
                );
            }
        }
        assert!(key.parse_page_path(&path[..path.len() - 1]).is_err());
        assert!(key.parse_page_path(&format!("{path}0")).is_err());
        assert!(
            TokenKey::new(b"secret", "r2")
                .parse_page_path(&path)
                .is_err()
        );
        assert!(
            TokenKey::new(b"other", "r1")
                .parse_page_path(&path)
                .is_err()
        );
    }
    assert_eq!(key.parse_query_path(&key.query_path(&id)), Ok(id));
    assert!(
        key.parse_query_path("/v1/query/19700101_000000_00007_k3v9xq2m/x")
            .is_err()
    );
}
