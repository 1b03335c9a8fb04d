//! Rule 3: no attempt is sent to an engine later than the grace period after its router was notified of the drain.

use std::collections::BTreeMap;

use crate::record::Record;
use crate::rules::Rules;
use crate::verdict::{Rule, Verdict};

/// A router as notified of an engine.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Notified<'a> {
    engine: &'a str,
    router: &'a str,
}

pub(super) fn check_drains(records: &[Record], rules: &Rules, verdict: &mut Verdict) {
    // Since when each router knows of a drain.
    let mut drains: BTreeMap<Notified, u64> = BTreeMap::new();
    for record in records {
        match record {
            Record::DrainNotified { at, engine, router } => {
                drains.entry(Notified { engine, router }).or_insert(*at);
            }
            Record::UpNotified { engine, router, .. } => {
                drains.remove(&Notified { engine, router });
            }
            Record::EngineStarted { engine, .. } => {
                drains.retain(|notified, _| notified.engine != engine);
            }
            Record::RouterKilled { router, .. } => {
                drains.retain(|notified, _| notified.router != router);
            }
            Record::Sent {
                at,
                engine,
                router,
                trace,
                ..
            } => {
                if let Some(since) = drains.get(&Notified { engine, router })
                    && *at > since + rules.drain_grace
                {
                    let late = at - since;
                    verdict.add(
                        Rule::DrainRespected,
                        format!("{trace}: sent by {router} to {engine} {late} µs after its drain was told"),
                    );
                }
            }
            _ => {}
        }
    }
}
