use super::*;

#[test]
fn a_fast_clock_runs_ahead_and_a_slow_one_behind() {
    let (fast, slow) = (Clock::skewed(500_000), Clock::skewed(-500_000));
    let began = read();
    while read() < began + 20_000 {
        std::hint::spin_loop();
    }
    let now = read();
    assert!(fast.now() > now + 5000, "half again as fast");
    assert!(slow.now() < now - 5000, "half as fast");
}
