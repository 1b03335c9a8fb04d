//! Processing of batches: passes the events to the controller of each instance and collects the actions for the reply.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use hoptiller_policy as policy;
use hoptiller_policy_settings::{load_report, micros_from_millis};

use crate::error::BatchError;
use crate::instance::{Instance, list_scope};
use crate::wire;

/// All instances of this process. They share nothing except the declared endpoint lists.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u64, Instance>,
    endpoint_lists: BTreeMap<u64, Vec<wire::EndpointEntry>>,
}

/// The events of a batch for each instance, and the actions for the reply.
#[derive(Default)]
struct BatchWork {
    events: BTreeMap<u64, Vec<policy::Event>>,
    actions: Vec<wire::Action>,
}

impl BatchWork {
    /// Adds events of an instance. The instance is run even if there are none.
    fn add(&mut self, instance: u64, events: impl IntoIterator<Item = policy::Event>) {
        self.events.entry(instance).or_default().extend(events);
    }
}

impl Host {
    /// Returns the reply to a line.
    ///
    /// # Errors
    /// Returns an error if the line is not a valid batch, or if it refers to a class or an endpoint list that was never
    /// declared.
    pub(crate) fn reply(&mut self, line: &str) -> Result<String, BatchError> {
        let batch: wire::Batch = serde_json::from_str(line)?;
        let mut work = BatchWork::default();
        for event in batch.events {
            self.accept(event, &mut work)?;
        }
        self.run(micros_from_millis(batch.now), &mut work);
        let reply = wire::Reply {
            batch: batch.number,
            actions: work.actions,
        };
        Ok(serde_json::to_string(&reply)?)
    }

    /// Accepts an event. Events of unknown instances or requests are ignored.
    fn accept(&mut self, event: wire::Event, work: &mut BatchWork) -> Result<(), BatchError> {
        match event {
            wire::Event::ListDeclared(list) => {
                self.endpoint_lists.insert(list.number, list.entries);
            }
            wire::Event::InstanceStarted(start) => self.start(&start, work),
            wire::Event::InstanceStopped(stop) => {
                self.instances.remove(&stop.instance);
                work.events.remove(&stop.instance);
            }
            wire::Event::ListUpdated(update) => self.update_list(&update, work)?,
            wire::Event::Arrival(arrival) => {
                if let Some(instance) = self.instances.get_mut(&arrival.instance) {
                    let event = policy::Event::Arrival(instance.arrival(&arrival)?);
                    work.add(arrival.instance, [event]);
                }
            }
            wire::Event::Outcome(outcome) => {
                if let Some(instance) = self.instances.get(&outcome.instance) {
                    let event = instance.outcome(&outcome).map(policy::Event::Outcome);
                    work.add(outcome.instance, event);
                }
            }
            wire::Event::HealthChecked(check) => {
                if self.instances.contains_key(&check.instance) {
                    let has_succeeded = check.status == wire::Status::Succeeded;
                    let report = load_report(&check.report).filter(|_| has_succeeded);
                    let engine = policy::EngineId(check.engine);
                    work.add(
                        check.instance,
                        [policy::Event::HealthChecked(engine, report)],
                    );
                }
            }
            wire::Event::Progress(progress) => {
                if let Some(instance) = self.instances.get(&progress.instance) {
                    work.add(progress.instance, instance.progress(&progress));
                }
            }
            wire::Event::ClientDisconnected(client) => {
                if let Some(instance) = self.instances.get(&client.instance) {
                    let request = instance.request(&client.handle);
                    work.add(
                        client.instance,
                        request.map(policy::Event::ClientDisconnected),
                    );
                }
            }
            // The controller only handles a batch after these events.
            wire::Event::Wakeup(event)
            | wire::Event::AttemptStarted(event)
            | wire::Event::Memo(event) => {
                work.add(event.instance, [policy::Event::Wakeup]);
            }
        }
        Ok(())
    }

    fn start(&mut self, start: &wire::InstanceStart, work: &mut BatchWork) {
        work.events.insert(start.instance, Vec::new());
        match Instance::new(start) {
            Ok(instance) => {
                self.instances.insert(start.instance, instance);
            }
            Err(error) => work.actions.push(wire::Action::InternalError {
                instance: start.instance,
                message: error.to_string(),
            }),
        }
    }

    fn update_list(
        &self,
        update: &wire::ListUpdate,
        work: &mut BatchWork,
    ) -> Result<(), BatchError> {
        let Some(instance) = self.instances.get(&update.instance) else {
            return Ok(());
        };
        let entries = match self.endpoint_lists.get(&update.list) {
            _ if update.scope == wire::ListScope::Failed => Vec::new(),
            Some(list) => list.iter().map(|entry| instance.entry(entry)).collect(),
            None => return Err(BatchError::UnknownEndpointList(update.list)),
        };
        let event = policy::Event::EndpointList(list_scope(update.scope), entries);
        work.add(update.instance, [event]);
        Ok(())
    }

    /// Runs the instances that have events, ordered by their numbers. A panic in one instance does not affect the
    /// others; the instance goes on with the state that the panic left.
    fn run(&mut self, now: policy::Micros, work: &mut BatchWork) {
        for (number, events) in std::mem::take(&mut work.events) {
            let Some(instance) = self.instances.get_mut(&number) else {
                continue;
            };
            let mut actions = Vec::new();
            let handle =
                AssertUnwindSafe(|| instance.controller.handle(now, &events, &mut actions));
            match catch_unwind(handle) {
                Ok(()) => work.actions.extend(
                    actions
                        .into_iter()
                        .map(|action| instance.action(number, action)),
                ),
                Err(_) => work.actions.push(wire::Action::InternalError {
                    instance: number,
                    message: format!("the controller of instance {number} panicked"),
                }),
            }
        }
    }
}
