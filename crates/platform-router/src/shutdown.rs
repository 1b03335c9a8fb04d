//! The graceful shutdown of a router.

use std::time::{Duration, Instant};

use async_io::Timer;
use hoptiller_policy::Class;

use crate::router::Router;

/// How long requests still arrive after SIGTERM. They are served as before.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(900);
/// How long the connections accepted last have to send their first byte, once no more are accepted.
const FIRST_BYTE_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of the grace period, which otherwise is the longest class deadline. SIGKILL follows SIGTERM at the
/// earliest 0.7 s after the grace period.
const MAX_TERMINATION_GRACE: Duration = Duration::from_secs(3);
/// Requests in flight are abandoned this long after the grace period, 0.25 s before the earliest SIGKILL, which leaves
/// time to respond.
const ABANDON_DELAY: Duration = Duration::from_millis(450);
/// How much longer the shutdown waits, still before SIGKILL, for clients that don't read their responses or don't stop
/// sending.
const CLOSE_DELAY: Duration = Duration::from_millis(200);
/// Interval of the checks whether all requests have a response.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Returns how long after the start of a shutdown requests in flight are abandoned.
pub(crate) fn timeout(classes: &[Class]) -> Duration {
    let longest = classes
        .iter()
        .map(|class| Duration::from_micros(class.deadline))
        .max()
        .unwrap_or(MAX_TERMINATION_GRACE);
    longest.min(MAX_TERMINATION_GRACE) + ABANDON_DELAY
}

impl Router {
    /// Serves the requests that still arrive, then stops accepting connections and waits until all requests in flight
    /// are completed. Requests that are not completed in time are abandoned; their clients get
    /// 429 if a retry is safe, otherwise 500.
    pub async fn shutdown(&self) {
        let started = Instant::now();
        self.client_connections.announce_end();
        Timer::after(DEREGISTRATION_DELAY).await;
        self.stop_accepting.notify(usize::MAX);
        Timer::after(FIRST_BYTE_DELAY).await;
        self.client_connections.close_idle();
        while self.is_accepting.get()
            || self.client_connections.counts().active > 0
            || self.open_requests() > 0
        {
            if started.elapsed() >= self.shutdown_timeout {
                self.with_core(|core, _| core.give_up_all());
            }
            let all_completed = self.open_requests() == 0;
            if all_completed && started.elapsed() >= self.shutdown_timeout + CLOSE_DELAY {
                return;
            }
            Timer::after(CHECK_INTERVAL).await;
        }
    }

    fn open_requests(&self) -> usize {
        self.event_loop.core().usage().open_statements
    }
}
