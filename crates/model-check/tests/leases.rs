//! Model checks within bounds that take seconds: no execution has two holders that act at once, and the check finds each
//! injected fault.

use hoptiller_model_check::{
    FREE_SHARD_TAKEN, LeaseModel, Limits, NEVER_TWO_HOLDERS_ACT, NO_TOKEN_REUSED,
};
use stateright::{Checker, HasDiscoveries, Model};

const SAFETY_PROPERTIES: [&str; 2] = [NEVER_TWO_HOLDERS_ACT, NO_TOKEN_REUSED];

/// Operations that are in flight for half of a term.
const SLOW_OPERATIONS: Limits = Limits {
    ticks: 5,
    term: 4,
    max_renewals: 1,
    max_crashes: 0,
    max_duplicates: 0,
    max_operation_ticks: 2,
    second_starts_late: false,
    processes: 2,
};
/// One crash of a replica, at any step.
const CRASH: Limits = Limits {
    ticks: 4,
    term: 3,
    max_operation_ticks: 1,
    max_crashes: 1,
    ..SLOW_OPERATIONS
};
/// Another incarnation of the holder's router, which starts while the holder still acts.
const SECOND_INCARNATION: Limits = Limits {
    ticks: 1,
    max_renewals: 2,
    max_operation_ticks: 1,
    second_starts_late: true,
    ..SLOW_OPERATIONS
};

/// Returns the violated safety properties, and whether an operation arrived under a newer fencing token.
fn check(limits: &Limits) -> (Vec<&'static str>, bool) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let model = LeaseModel::new(limits.clone()).checker().threads(threads);
    let checked = model
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let discoveries = checked.discoveries();
    println!(
        "{limits:?}: {} states, {} steps deep",
        checked.unique_state_count(),
        checked.max_depth()
    );
    let violated = SAFETY_PROPERTIES
        .into_iter()
        .filter(|property| discoveries.contains_key(property))
        .collect();
    (violated, discoveries.contains_key(FREE_SHARD_TAKEN))
}

#[cfg(not(feature = "plant"))]
#[test]
fn no_two_holders_act_at_once_in_any_execution() {
    let none = Vec::<&str>::new();
    assert_eq!(check(&SLOW_OPERATIONS), (none.clone(), true));
    assert_eq!(check(&CRASH), (none.clone(), true));
    assert_eq!(check(&SECOND_INCARNATION).0, none);
}

/// One test covers all faults in turn, because a fault is injected into the whole process.
#[cfg(feature = "plant")]
#[test]
fn each_injected_fault_is_found() {
    use hoptiller_coordination::fault_injection::{Fault, inject};
    for (name, fault) in Fault::ALL {
        let limits = match fault {
            // These faults affect rollouts and a replica's disk, not task leases.
            Fault::SkipRolloutWait | Fault::LoseDurableState => continue,
            Fault::SkipStartupTerm => CRASH,
            Fault::IgnoreIncarnation => SECOND_INCARNATION,
            _ => SLOW_OPERATIONS,
        };
        inject(fault);
        assert!(!check(&limits).0.is_empty(), "{name} is not found");
    }
}
