//! Plays batches: wire events become events of each instance's controller, and its actions become the reply.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use hoptiller_policy as policy;
use hoptiller_policy_settings::{load_report, micros_from_millis};

use crate::error::BatchError;
use crate::instance::{Instance, list_scope};
use crate::wire;

/// All instances of this process; they share nothing but the declared lists.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u64, Instance>,
    rosters: BTreeMap<u64, Vec<wire::Entry>>,
}

/// What a batch brings: events for each instance, and actions for the reply.
#[derive(Default)]
struct Work {
    events: BTreeMap<u64, Vec<policy::Event>>,
    actions: Vec<wire::Action>,
}

impl Work {
    /// Adds events of an instance; it is run even if there are none.
    fn add(&mut self, instance: u64, events: impl IntoIterator<Item = policy::Event>) {
        self.events.entry(instance).or_default().extend(events);
    }
}

impl Host {
    /// The reply to one line.
    ///
    /// # Errors
    /// The line is no batch, or names a class or a list that was never declared.
    pub(crate) fn reply(&mut self, line: &str) -> Result<String, BatchError> {
        let batch: wire::Batch = serde_json::from_str(line)?;
        let mut work = Work::default();
        for event in batch.happened {
            self.accept(event, &mut work)?;
        }
        self.run(micros_from_millis(batch.at_time), &mut work);
        let reply = wire::Reply {
            batch: batch.batch,
            actions: work.actions,
        };
        Ok(serde_json::to_string(&reply)?)
    }

    /// Accepts one event. Events of instances or requests that are not known are ignored.
    fn accept(&mut self, event: wire::Event, work: &mut Work) -> Result<(), BatchError> {
        match event {
            wire::Event::Roster(r) => {
                self.rosters.insert(r.table, r.elements);
            }
            wire::Event::Hello(h) => self.start(&h, work),
            wire::Event::Detach(d) => {
                self.instances.remove(&d.i);
                work.events.remove(&d.i);
            }
            wire::Event::Sync(s) => self.update_list(&s, work)?,
            wire::Event::WorkItem(w) => {
                if let Some(instance) = self.instances.get_mut(&w.i) {
                    let arrival = instance.arrival(&w)?;
                    work.add(w.i, [policy::Event::Arrival(arrival)]);
                }
            }
            wire::Event::Outcome(o) => {
                if let Some(instance) = self.instances.get(&o.i) {
                    work.add(o.i, instance.outcome(&o).map(policy::Event::Outcome));
                }
            }
            wire::Event::Health(h) => {
                if self.instances.contains_key(&h.i) {
                    let report = load_report(&h.report).filter(|_| h.ending == wire::Ending::Good);
                    let engine = policy::EngineId(h.engine);
                    work.add(h.i, [policy::Event::HealthChecked(engine, report)]);
                }
            }
            wire::Event::Notice(n) => {
                if let Some(instance) = self.instances.get(&n.i) {
                    work.add(n.i, instance.progress(&n));
                }
            }
            wire::Event::Dropped(d) => {
                if let Some(instance) = self.instances.get(&d.i) {
                    let request = instance.request(&d.handle);
                    work.add(d.i, request.map(policy::Event::ClientDisconnected));
                }
            }
            wire::Event::Wakeup(o) | wire::Event::Started(o) | wire::Event::Memo(o) => {
                work.add(o.i, [policy::Event::Wakeup]);
            }
        }
        Ok(())
    }

    fn start(&mut self, hello: &wire::Hello, work: &mut Work) {
        work.events.insert(hello.i, Vec::new());
        match Instance::new(hello) {
            Ok(instance) => {
                self.instances.insert(hello.i, instance);
            }
            Err(error) => {
                let body_text = error.to_string();
                work.actions.push(wire::Action::InternalError {
                    i: hello.i,
                    body_text,
                });
            }
        }
    }

    fn update_list(&self, sync: &wire::Sync, work: &mut Work) -> Result<(), BatchError> {
        let Some(instance) = self.instances.get(&sync.i) else {
            return Ok(());
        };
        let entries = match self.rosters.get(&sync.table) {
            _ if sync.scope == wire::Scope::Refused => Vec::new(),
            Some(list) => list.iter().map(|e| instance.entry(e)).collect(),
            None => return Err(BatchError::UnknownTable(sync.table)),
        };
        work.add(
            sync.i,
            [policy::Event::EndpointList(list_scope(sync.scope), entries)],
        );
        Ok(())
    }

    /// Runs the instances with events, in the order of their numbers. A panic ends no other instance.
    fn run(&mut self, now: policy::Micros, work: &mut Work) {
        for (i, events) in std::mem::take(&mut work.events) {
            let Some(instance) = self.instances.get_mut(&i) else {
                continue;
            };
            let mut actions = Vec::new();
            let handle =
                AssertUnwindSafe(|| instance.controller.handle(now, &events, &mut actions));
            match catch_unwind(handle) {
                Ok(()) => work
                    .actions
                    .extend(actions.into_iter().map(|a| instance.action(i, a))),
                Err(_) => {
                    let body_text = "the decision module panicked".to_string();
                    work.actions
                        .push(wire::Action::InternalError { i, body_text });
                }
            }
        }
    }
}
