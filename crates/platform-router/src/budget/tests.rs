//! Tests of the division of descriptors and memory.

use super::*;

#[test]
fn clients_get_over_a_third_of_the_descriptors_and_engines_the_rest() {
    for sockets in [64, 256, 1024, 65536] {
        let budget = Budget::from_limits(&Limits {
            cores: 0.4,
            memory_mb: 32.0,
            sockets,
        });
        assert!(budget.client_connections * 3 > sockets, "{budget:?}");
        assert!(
            budget.engine_connections > 0
                && budget.client_connections + budget.engine_connections + PROCESS_DESCRIPTORS
                    <= sockets,
            "{budget:?}"
        );
        assert!(
            budget.incoming_bytes + budget.result_bytes < 32 << 18,
            "incoming_bytes + result_bytes must be less than a quarter of the memory: {budget:?}"
        );
    }
}
