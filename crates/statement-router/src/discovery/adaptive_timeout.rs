//! A timeout for the repeated requests to one server, which grows while the server responds too late.

use std::time::Duration;

use hoptiller_http::client::ClientError;

/// Maximum timeout, or the configured one if that is longer. A server that receives a request from every router at once
/// responds to all within this time.
const MAX_TIMEOUT: Duration = Duration::from_secs(8);

/// A timeout that doubles after each request without a response in time. With the same timeout, a server that is slow
/// would get request after request, and none of its responses would be received.
#[derive(Debug)]
pub(super) struct AdaptiveTimeout {
    configured: Duration,
    current: Duration,
}

impl AdaptiveTimeout {
    /// Creates a timeout that starts with the configured one.
    pub(super) fn new(configured: Duration) -> AdaptiveTimeout {
        AdaptiveTimeout {
            configured,
            current: configured,
        }
    }

    /// Returns the timeout of the next request.
    pub(super) fn current(&self) -> Duration {
        self.current
    }

    /// Records the result of a request. A response that took longer than the configured timeout leaves the timeout as it
    /// is. A connection that fails shows a server that is not slow but unreachable.
    pub(super) fn record<T>(&mut self, result: &Result<T, ClientError>, elapsed: Duration) {
        match result {
            Err(ClientError::TimedOut) => {
                let max = MAX_TIMEOUT.max(self.configured);
                self.current = (self.current * 2).min(max);
            }
            Ok(_) if elapsed > self.configured => {}
            _ => self.current = self.configured,
        }
    }
}

#[cfg(test)]
mod tests;
