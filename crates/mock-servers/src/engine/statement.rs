//! One statement that an engine was sent.

use std::rc::Rc;

use event_listener::{Event, EventListener};

use crate::engine_faults::EngineFaults;
use crate::workload_profile::WorkloadProfile;

/// How far a statement is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It runs, or is blocked.
    Running,
    /// Its work is done.
    Finished,
    /// It was killed, for this reason.
    Killed(String),
}

/// A statement, from its submission until it is cancelled or evicted.
pub(super) struct Statement {
    pub(super) trace: String,
    /// The name under which its router knows it.
    pub(super) name: String,
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
        name: String,
        class: String,
        profile: WorkloadProfile,
        faults: EngineFaults,
    ) -> Self {
        Self {
            trace,
            name,
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

    /// Ends the statement, and notifies those who wait for that.
    pub(super) fn end(&mut self, phase: Phase) {
        self.phase = phase;
        self.ended.notify(usize::MAX);
    }

    /// Notified once the statement ends.
    pub(super) fn listen_for_end(&self) -> EventListener {
        self.ended.listen()
    }
}
