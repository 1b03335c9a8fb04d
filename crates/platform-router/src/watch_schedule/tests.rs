use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Makes each call when it is due, subscribes it at once, and returns the times of the calls, in ms after the start.
fn unanswered_calls(schedule: &mut WatchSchedule, start: Instant, end: Duration) -> Vec<u128> {
    let mut times = Vec::new();
    while schedule.next_call_at() <= start + end {
        let now = schedule.next_call_at();
        let id = schedule.begin_call(now);
        schedule.subscribed(id, now);
        times.push(now.duration_since(start).as_millis());
    }
    times
}

#[test]
fn the_oldest_call_to_a_coordinator_that_does_not_answer_stays_open_and_further_calls_are_few() {
    let start = Instant::now();
    let mut schedule = WatchSchedule::new(start);
    let first = schedule.begin_call(start);
    schedule.subscribed(first, start);
    let times = unanswered_calls(&mut schedule, start, ms(60_000));
    assert_eq!(times[..4], [2_200, 5_500, 9_000, 12_500]);
    assert_eq!(times.len(), 17, "one each 3.5 s: {times:?}");
    assert!(schedule.is_open(first));
    assert_eq!(schedule.open_calls(), MAX_OPEN_CALLS);
}

#[test]
fn the_first_frame_closes_all_other_calls() {
    let start = Instant::now();
    let mut schedule = WatchSchedule::new(start);
    let first = schedule.begin_call(start);
    schedule.subscribed(first, start);
    let second = schedule.begin_call(start + ms(2_200));
    schedule.frame_received(first, start + ms(2_500));
    assert!(schedule.is_open(first) && !schedule.is_open(second));
}

#[test]
fn a_coordinator_whose_frames_are_late_gets_no_further_calls_and_a_quick_one_is_left_soon_again() {
    let start = Instant::now();
    let mut schedule = WatchSchedule::new(start);
    let first = schedule.begin_call(start);
    schedule.subscribed(first, start);
    schedule.begin_call(start + ms(2_200));
    for frame in 1..10 {
        let now = start + ms(3_000 * frame);
        schedule.frame_received(first, now);
        assert!(schedule.next_call_at() >= now + ms(3_000), "frame {frame}");
    }
    let quick = start + ms(28_000);
    schedule.frame_received(first, quick);
    assert_eq!(schedule.next_call_at(), quick + MIN_FRAME_TIMEOUT);
}

#[test]
fn a_watch_that_falls_silent_is_followed_by_another_call_within_the_frame_timeout() {
    let start = Instant::now();
    let mut schedule = WatchSchedule::new(start);
    let first = schedule.begin_call(start);
    schedule.subscribed(first, start);
    schedule.frame_received(first, start + ms(10));
    schedule.frame_received(first, start + ms(1_010));
    let silent = start + ms(1_010);
    assert_eq!(schedule.next_call_at(), silent + MIN_FRAME_TIMEOUT);
    // Even where the coordinator has been slow before, the next call is made before events count as reported.
    schedule.frame_timeout = MAX_FRAME_TIMEOUT;
    schedule.frame_received(first, silent + ms(3_000));
    assert!(schedule.next_call_at() < silent + ms(3_000 + 4_000));
}

#[test]
fn calls_that_fail_back_off_and_a_call_that_is_slow_to_connect_is_kept() {
    let start = Instant::now();
    let mut schedule = WatchSchedule::new(start);
    let mut now = start;
    let mut backoffs = Vec::new();
    for _ in 0..6 {
        let id = schedule.begin_call(now);
        schedule.call_failed(id, now);
        backoffs.push(schedule.next_call_at().duration_since(now).as_millis());
        now = schedule.next_call_at();
    }
    assert_eq!(backoffs, [20, 40, 80, 160, 320, 400]);
    let slow = schedule.begin_call(now);
    assert_eq!(schedule.next_call_at(), now + CONNECT_TIMEOUT);
    let refused = schedule.begin_call(now + CONNECT_TIMEOUT);
    schedule.call_failed(refused, now + CONNECT_TIMEOUT);
    assert!(schedule.is_open(slow));
    schedule.call_failed(slow, now + ms(1_100));
    assert_eq!(schedule.open_calls(), 0);
    assert_eq!(
        schedule.next_call_at(),
        now + CONNECT_TIMEOUT + MAX_BACKOFF,
        "an earlier call that fails does not postpone the next one"
    );
}
