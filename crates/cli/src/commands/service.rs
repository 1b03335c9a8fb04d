//! What the commands share that run a router on the statement API.

use hoptiller_statement_router::{Service, Stopped};

/// Shuts a router down, and reports how that went.
pub(crate) async fn shut_down(service: &Service) {
    match service.end().await {
        Stopped::Clean => eprintln!("hoptiller: ended; all that was taken is answered"),
        Stopped::Cut(open) => eprintln!(
            "hoptiller: ended with {open} statements open: limits.drain_within ran out; their clients learn what is \
             known when the router runs again"
        ),
    }
}
