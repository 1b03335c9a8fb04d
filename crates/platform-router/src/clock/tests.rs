//! Tests of the conversion of start times.

use super::*;

#[test]
fn recent_start_keeps_its_age_on_the_core_clock() {
    let reference = ClockReference {
        core: 86_400_000_000,
        unix: 1_800_000_000_000_000,
    };
    assert_eq!(reference.start_time(0), 0);
    assert_eq!(
        reference.start_time(1_800_000_000_000 - 5_000),
        86_400_000_000 - 5_000_000
    );
    assert_eq!(
        reference.start_time(1),
        1,
        "a start before the clock's zero stays distinct from 0, which means long ago"
    );
}
