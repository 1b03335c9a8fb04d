//! The graceful shutdown of a router.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

use super::Service;

/// Interval of checks for an idle core.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the last responses to reach their clients.
const WRITE_GRACE: Duration = Duration::from_millis(50);

/// The outcome of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// All statements have received their final responses.
    Complete,
    /// The timeout passed while statements were open.
    TimedOut {
        /// The number of open statements.
        open_statements: usize,
    },
}

impl Service {
    /// Rejects new statements, finishes open ones, hands over task leases, saves statistics, and then releases the
    /// config lease. After an incomplete shutdown the lease is left to expire, since statements may still run under
    /// it. The same holds if task leases could not be handed over.
    pub async fn shutdown(&self) -> ShutdownOutcome {
        self.context.begin_shutdown();
        let hand_over = async {
            match self.context.fleet_member() {
                Some(member) => member.hand_over_tasks().await,
                None => true,
            }
        };
        let (outcome, is_handed_over) = future::zip(self.finish_statements(), hand_over).await;
        self.save_statistics();
        if let (ShutdownOutcome::Complete, true, Some(member)) =
            (outcome, is_handed_over, self.context.fleet_member())
        {
            member.release_lease().await;
        }
        outcome
    }

    async fn finish_statements(&self) -> ShutdownOutcome {
        let event_loop = self.context.event_loop();
        event_loop.core().begin_shutdown();
        let deadline = Instant::now() + self.settings().limits.shutdown_timeout;
        loop {
            if event_loop.core().is_idle() {
                Timer::after(WRITE_GRACE).await;
                return ShutdownOutcome::Complete;
            }
            if Instant::now() >= deadline {
                let open_statements = event_loop.core().usage().open_statements;
                return ShutdownOutcome::TimedOut { open_statements };
            }
            Timer::after(IDLE_CHECK_INTERVAL).await;
        }
    }
}
