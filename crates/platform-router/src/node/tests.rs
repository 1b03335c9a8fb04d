//! Clocks of the router.

use super::*;

#[test]
fn a_late_start_has_its_age_on_the_cores_clock() {
    let unix = Unix {
        core: 86_400_000_000,
        unix: 1_800_000_000_000_000,
    };
    assert_eq!(unix.start(0), 0);
    assert_eq!(
        unix.start(1_800_000_000_000 - 5_000),
        86_400_000_000 - 5_000_000
    );
    assert_eq!(unix.start(1), 1, "older than the clock is not long ago");
}
