//! Within bounds that take seconds: no two holders act at once in any course; and each planted fault shows in some.

use hoptiller_model_check::{Leasing, Limits};
use stateright::{Checker, HasDiscoveries, Model};

const NEVER: [&str; 2] = ["never two acting", "no number is given twice"];

/// Acts that are long on their way, and take most of a term.
const LONG_WAY: Limits = Limits {
    ticks: 5,
    term: 4,
    asks: 1,
    crashes: 0,
    doubles: 0,
    way: 2,
    late_twin: false,
    processes: 2,
};
/// A keeper that crashes at any step.
const CRASH: Limits = Limits {
    ticks: 4,
    term: 3,
    way: 1,
    crashes: 1,
    ..LONG_WAY
};
/// Another life of the holder's router, which begins while the holder still acts.
const TWIN: Limits = Limits {
    ticks: 1,
    asks: 2,
    way: 1,
    late_twin: true,
    ..LONG_WAY
};

/// What is broken, and whether a part that came free was taken.
fn check(limits: &Limits) -> (Vec<&'static str>, bool) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let model = Leasing::new(limits.clone()).checker().threads(threads);
    let done = model
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let found = done.discoveries();
    println!(
        "{limits:?}: {} states, {} steps deep",
        done.unique_state_count(),
        done.max_depth()
    );
    let broken = NEVER
        .into_iter()
        .filter(|p| found.contains_key(p))
        .collect();
    (broken, found.contains_key("a free part is taken"))
}

#[cfg(not(feature = "plant"))]
#[test]
fn no_two_holders_act_at_once_in_any_course() {
    let none = Vec::<&str>::new();
    assert_eq!(check(&LONG_WAY), (none.clone(), true));
    assert_eq!(check(&CRASH), (none.clone(), true));
    assert_eq!(check(&TWIN).0, none);
}

/// One after the other: a fault is planted in the whole process.
#[cfg(feature = "plant")]
#[test]
fn each_planted_fault_shows_in_some_course() {
    use hoptiller_coordination::fault_injection::{Fault, inject};
    for (name, fault) in Fault::ALL {
        let limits = match fault {
            Fault::SkipRolloutWait | Fault::LoseDurableState => continue, // Of versions, and of a keeper's disk: not of leases.
            Fault::SkipStartupTerm => CRASH,
            Fault::IgnoreIncarnation => TWIN,
            _ => LONG_WAY,
        };
        inject(fault);
        assert!(!check(&limits).0.is_empty(), "{name} is not found");
    }
}
