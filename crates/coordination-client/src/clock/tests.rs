use super::*;

#[test]
fn a_skewed_clock_runs_fast_or_slow() {
    let (fast, slow) = (Clock::with_skew(500_000), Clock::with_skew(-500_000));
    let started_at = boot_time();
    while boot_time() < started_at + 20_000 {
        std::hint::spin_loop();
    }
    let now = boot_time();
    assert!(fast.now() > now + 5000, "runs at 1.5 times the rate");
    assert!(slow.now() < now - 5000, "runs at half the rate");
}
