//! Rule 3: no attempt is sent to an engine later than the grace period after its router was notified of the drain.

use std::collections::BTreeMap;

use crate::record::Record;
use crate::rules::Rules;
use crate::verdict::{Rule, Verdict};

/// A router and an engine of whose drain it was notified.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DrainNotice<'a> {
    engine: &'a str,
    router: &'a str,
}

pub(super) fn check_drains(records: &[Record], rules: &Rules, verdict: &mut Verdict) {
    // Time at which each router was first notified of each current drain.
    let mut drains: BTreeMap<DrainNotice, u64> = BTreeMap::new();
    for record in records {
        match record {
            Record::DrainNotified { at, engine, router } => {
                drains.entry(DrainNotice { engine, router }).or_insert(*at);
            }
            Record::UpNotified { engine, router, .. } => {
                drains.remove(&DrainNotice { engine, router });
            }
            Record::EngineStarted { engine, .. } => {
                drains.retain(|notice, _| notice.engine != engine);
            }
            Record::RouterKilled { router, .. } => {
                drains.retain(|notice, _| notice.router != router);
            }
            Record::Sent {
                at,
                engine,
                router,
                trace,
                ..
            } => {
                if let Some(notified_at) = drains.get(&DrainNotice { engine, router })
                    && *at > notified_at + rules.drain_grace
                {
                    let late = at - notified_at;
                    verdict.add_violation(
                        Rule::DrainRespected,
                        format!("{trace}: sent by {router} to {engine} {late} µs after its drain was told"),
                    );
                }
            }
            _ => {}
        }
    }
}
