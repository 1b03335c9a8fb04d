use super::*;

#[test]
fn clients_get_more_than_their_third_and_engines_a_share_of_their_own() {
    for sockets in [64, 256, 1024, 65536] {
        let b = Budget::of(&Limits {
            cores: 0.4,
            memory_mb: 32.0,
            sockets,
        });
        assert!(b.clients * 3 > sockets, "{b:?}");
        assert!(
            b.engines > 0 && b.clients + b.engines + OWN <= sockets,
            "{b:?}"
        );
        assert!(b.incoming + b.held < 32 << 18, "under a quarter: {b:?}");
    }
}
