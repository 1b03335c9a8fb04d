//! The fencing tokens that a mock server has seen, by which it rejects what is asked under a lease that is over.

use std::collections::BTreeMap;

use hoptiller_audit::{Record, Recorder, unix_micros};
use hoptiller_http::{Request, Response};
use hoptiller_statement::extra;

/// The fencing token of a request is lower than one that was seen before for the same shard.
#[derive(Debug, thiserror::Error)]
#[error("fencing token {token} of {shard} is lower than {newest}")]
pub(crate) struct StaleToken {
    shard: String,
    token: u64,
    newest: u64,
}

impl From<StaleToken> for Response {
    fn from(_: StaleToken) -> Self {
        Response::text(409, "that lease is over")
    }
}

/// The highest token seen for each shard. They are lost with the process.
#[derive(Default)]
pub(crate) struct FencingTokens {
    newest: BTreeMap<String, u64>,
}

impl FencingTokens {
    /// Records the lease under which a request is made, if any, and remembers its token.
    ///
    /// # Errors
    ///
    /// Where fencing is enforced, if a higher token was seen for that shard.
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
        let newest = self.newest.entry(shard.clone()).or_default();
        *newest = token.max(*newest);
        let newest = *newest;
        let refused = enforces_fencing && token < newest;
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
                newest,
            });
        }
        Ok(())
    }
}
