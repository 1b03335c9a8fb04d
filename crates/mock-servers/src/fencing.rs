//! The fencing tokens that a mock server has seen, by which it rejects requests with a stale lease.

use std::collections::BTreeMap;

use hoptiller_audit::{Record, Recorder, unix_micros};
use hoptiller_http::{Request, Response};
use hoptiller_statement::extra;

/// The error for a request whose fencing token is lower than one seen before for the same shard.
#[derive(Debug, thiserror::Error)]
#[error("fencing token {token} of {shard} is lower than {highest}")]
pub(crate) struct StaleToken {
    shard: String,
    token: u64,
    highest: u64,
}

impl From<StaleToken> for Response {
    fn from(_: StaleToken) -> Self {
        Response::text(409, "that lease is over")
    }
}

/// The highest fencing token seen for each shard. A restart of the server loses them.
#[derive(Default)]
pub(crate) struct FencingTokens {
    highest: BTreeMap<String, u64>,
}

impl FencingTokens {
    /// Records the lease of a request, if it has one, and remembers its fencing token.
    ///
    /// # Errors
    ///
    /// Returns an error if fencing is enforced and a higher token has been seen for the same shard.
    pub(crate) fn observe(
        &mut self,
        request: &Request,
        resource: &str,
        enforces_fencing: bool,
        recorder: &Recorder,
    ) -> Result<(), StaleToken> {
        let header = request.headers.get(extra::LEASE);
        let Some(lease) = header.and_then(extra::TaskLease::parse) else {
            return Ok(());
        };
        let (shard, token) = (lease.shard.to_owned(), lease.fencing_token);
        let highest = self.highest.entry(shard.clone()).or_default();
        *highest = token.max(*highest);
        let highest = *highest;
        let refused = enforces_fencing && token < highest;
        let router = request.headers.get(extra::ROUTER).unwrap_or_default();
        recorder.write(Record::LeasedRequest {
            at: unix_micros(),
            resource: resource.to_owned(),
            router: router.to_owned(),
            shard: shard.clone(),
            fencing_token: token,
            refused,
        });
        if refused {
            return Err(StaleToken {
                shard,
                token,
                highest,
            });
        }
        Ok(())
    }
}
