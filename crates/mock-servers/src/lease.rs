//! Owns what a stand-in does with the lease under which something is asked of it: it records it and, where it compares,
//! refuses one whose number is under one that it has seen for that part.

use std::collections::BTreeMap;

use hoptiller_audit::{Record, Recorder, unix_micros};
use hoptiller_http::{Request, Response};
use hoptiller_statement::extra;

/// By part: the highest number seen. It is gone with the process.
#[derive(Default)]
pub(crate) struct Numbers(BTreeMap<String, u64>);

impl Numbers {
    /// Looks at a request. `Some`: it is refused with that.
    pub fn look(
        &mut self,
        request: &Request,
        resource: &str,
        compares: bool,
        recorder: &Recorder,
    ) -> Option<Response> {
        let lease = extra::TaskLease::parse(request.headers.get(extra::LEASE)?)?;
        let (part, number) = (lease.shard, lease.fencing_token);
        let newest = self.0.entry(part.to_owned()).or_default();
        let refused = compares && number < *newest;
        *newest = number.max(*newest);
        recorder.write(Record::LeasedRequest {
            at: unix_micros(),
            resource: resource.to_owned(),
            router: request
                .headers
                .get(extra::ROUTER)
                .unwrap_or_default()
                .to_owned(),
            shard: part.to_owned(),
            fencing_token: number,
            refused,
        });
        refused.then(|| Response::text(409, "that lease is over"))
    }
}
