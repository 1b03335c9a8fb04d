//! The graceful shutdown of a router.

use std::time::{Duration, Instant};

use async_io::Timer;
use hoptiller_policy::Class;

use crate::router::Router;

/// After SIGTERM requests are still sent to the router for so long, and are served as before.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(900);
/// Then no connection is accepted, and those accepted last have so long to send their first byte.
const LAST_ACCEPTED_DELAY: Duration = Duration::from_millis(100);
/// SIGKILL comes no sooner after SIGTERM than the longest deadline of a class, or this time where that is less, and 0.7 s
/// more.
const MAX_TERMINATION_GRACE: Duration = Duration::from_secs(3);
/// Requests in flight are given up this long after that deadline, which leaves time to respond before SIGKILL.
const GIVE_UP_AFTER: Duration = Duration::from_millis(450);
/// Connections whose responses are not read, or that only send, are waited for so much longer.
const CLOSE_AFTER: Duration = Duration::from_millis(200);
/// Pause between checks whether all requests have a response.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How long after the start of a shutdown requests in flight are given up.
pub(crate) fn timeout(classes: &[Class]) -> Duration {
    let longest = classes
        .iter()
        .map(|class| Duration::from_micros(class.deadline))
        .max()
        .unwrap_or(MAX_TERMINATION_GRACE);
    longest.min(MAX_TERMINATION_GRACE) + GIVE_UP_AFTER
}

impl Router {
    /// Serves the requests that still arrive, then accepts none, completes those in flight, and returns. Requests that
    /// are not completed in time are given up, and their clients get a response that says so.
    pub async fn shutdown(&self) {
        let started = Instant::now();
        self.client_connections.announce_end();
        Timer::after(DEREGISTRATION_DELAY).await;
        self.stop_accepting.notify(usize::MAX);
        Timer::after(LAST_ACCEPTED_DELAY).await;
        self.client_connections.close_idle();
        while self.is_accepting.get()
            || self.client_connections.counts().active > 0
            || self.open_requests() > 0
        {
            if started.elapsed() >= self.shutdown_timeout {
                self.with_core(|core, _| core.give_up_all());
            }
            let all_completed = self.open_requests() == 0;
            if all_completed && started.elapsed() >= self.shutdown_timeout + CLOSE_AFTER {
                return;
            }
            Timer::after(CHECK_INTERVAL).await;
        }
    }

    fn open_requests(&self) -> usize {
        self.event_loop.core().usage().open_statements
    }
}
