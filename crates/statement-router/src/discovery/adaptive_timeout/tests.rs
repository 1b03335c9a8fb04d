use std::io;

use super::*;

const CONFIGURED: Duration = Duration::from_secs(1);

fn timed_out() -> Result<(), ClientError> {
    Err(ClientError::TimedOut)
}

#[test]
fn it_grows_up_to_its_maximum_while_responses_are_late_and_returns_after_a_quick_one() {
    let mut timeout = AdaptiveTimeout::new(CONFIGURED);
    let mut timeouts = Vec::new();
    for _ in 0..5 {
        timeouts.push(timeout.current().as_secs());
        timeout.record(&timed_out(), timeout.current());
    }
    assert_eq!(timeouts, [1, 2, 4, 8, 8]);
    timeout.record(&Ok(()), 3 * CONFIGURED);
    assert_eq!(timeout.current(), MAX_TIMEOUT, "the server is still slow");
    timeout.record(&Ok(()), CONFIGURED / 2);
    assert_eq!(timeout.current(), CONFIGURED);
}

#[test]
fn it_does_not_grow_for_a_server_that_is_not_reached() {
    let mut timeout = AdaptiveTimeout::new(CONFIGURED);
    timeout.record(&timed_out(), CONFIGURED);
    let refused = io::Error::from(io::ErrorKind::ConnectionRefused);
    timeout.record::<()>(&Err(ClientError::Connect(refused)), Duration::ZERO);
    assert_eq!(timeout.current(), CONFIGURED);
}
