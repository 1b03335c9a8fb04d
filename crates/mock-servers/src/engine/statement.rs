//! A statement that was submitted to an engine.

use std::rc::Rc;

use event_listener::{Event, EventListener};

use crate::engine_faults::EngineFaults;
use crate::workload_profile::WorkloadProfile;

/// The phase of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The statement runs or is blocked.
    Running,
    /// The work of the statement is done.
    Finished,
    /// The statement was killed for this reason.
    Killed(String),
}

/// A statement that the engine has admitted and not removed yet.
pub(super) struct Statement {
    pub(super) trace: String,
    /// The id that its router has given it.
    pub(super) statement_name: String,
    pub(super) class: String,
    pub(super) profile: WorkloadProfile,
    /// The faults that affect it.
    pub(super) faults: EngineFaults,
    phase: Phase,
    ended: Rc<Event>,
}

impl Statement {
    pub(super) fn new(
        trace: String,
        statement_name: String,
        class: String,
        profile: WorkloadProfile,
        faults: EngineFaults,
    ) -> Self {
        Self {
            trace,
            statement_name,
            class,
            profile,
            faults,
            phase: Phase::Running,
            ended: Rc::new(Event::new()),
        }
    }

    pub(super) fn phase(&self) -> &Phase {
        &self.phase
    }

    pub(super) fn is_finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    pub(super) fn is_running(&self) -> bool {
        self.phase == Phase::Running
    }

    /// Ends the statement, and notifies all listeners.
    pub(super) fn end(&mut self, phase: Phase) {
        self.phase = phase;
        self.ended.notify(usize::MAX);
    }

    /// Returns a listener that is notified when the statement ends.
    pub(super) fn listen_for_end(&self) -> EventListener {
        self.ended.listen()
    }
}
