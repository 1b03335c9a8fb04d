//! Shutdown of a router on the statement API, shared by the commands that run one.

use hoptiller_statement_router::{Service, ShutdownOutcome};

/// Shuts a router down, and prints the outcome.
pub(crate) async fn shut_down(service: &Service) {
    match service.shutdown().await {
        ShutdownOutcome::Complete => {
            eprintln!("hoptiller: stopped; all admitted statements have their final response");
        }
        ShutdownOutcome::TimedOut { open_statements } => eprintln!(
            "hoptiller: stopped with {open_statements} open statements, as limits.drain_within expired; their clients get the \
             known outcomes when the router runs again"
        ),
    }
}
