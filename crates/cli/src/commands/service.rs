//! What the commands share that run a router on the statement API.

use hoptiller_statement_router::{Service, ShutdownOutcome};

/// Shuts a router down, and reports how that went.
pub(crate) async fn shut_down(service: &Service) {
    match service.shutdown().await {
        ShutdownOutcome::Complete => eprintln!("hoptiller: ended; all that was taken is answered"),
        ShutdownOutcome::TimedOut { open_statements } => eprintln!(
            "hoptiller: ended with {open_statements} statements open: limits.drain_within ran out; their clients learn what is \
             known when the router runs again"
        ),
    }
}
