//! The state of a fleet's routers: their processes, and which of them are paused.

use hoptiller_audit::unix_micros;

use crate::client_load::RouterAddress;
use crate::process::Process;

/// The routers of a fleet, by place, counted from 0. All methods that take a place panic where there is no such router.
pub(super) struct Routers {
    slots: Vec<RouterSlot>,
}

#[derive(Default)]
struct RouterSlot {
    process: Option<Process>,
    /// When it was paused, in Unix time and µs; `None` where it is not.
    paused_at: Option<u64>,
}

impl Routers {
    pub(super) fn new(count: usize) -> Routers {
        Routers {
            slots: (0..count).map(|_| RouterSlot::default()).collect(),
        }
    }

    pub(super) fn count(&self) -> usize {
        self.slots.len()
    }

    pub(super) fn processes(&mut self) -> impl Iterator<Item = &mut Process> {
        self.slots
            .iter_mut()
            .filter_map(|slot| slot.process.as_mut())
    }

    pub(super) fn process(&mut self, router: usize) -> Option<&mut Process> {
        self.slots[router].process.as_mut()
    }

    pub(super) fn set_process(&mut self, router: usize, process: Process) {
        self.slots[router].process = Some(process);
    }

    /// Kills the process of a router, and returns whether there was one.
    pub(super) fn kill(&mut self, router: usize) -> bool {
        self.slots[router].process.take().is_some()
    }

    /// Pauses a router; one that is paused stays so.
    pub(super) fn pause(&mut self, router: usize) {
        let slot = &mut self.slots[router];
        if let Some(process) = &slot.process {
            slot.paused_at.get_or_insert(unix_micros());
            process.pause();
        }
    }

    /// Ends the pause of a router, which still has to be [resumed](Routers::resume). Returns since when it was paused, in Unix
    /// time and µs; `None` where it was not.
    pub(super) fn end_pause(&mut self, router: usize) -> Option<u64> {
        self.slots[router].paused_at.take()
    }

    pub(super) fn resume(&self, router: usize) {
        self.slots[router].process.iter().for_each(Process::resume);
    }

    /// The routers that run and are not paused.
    pub(super) fn running(&self) -> Vec<RouterAddress> {
        self.slots
            .iter()
            .filter(|slot| slot.paused_at.is_none())
            .filter_map(|slot| slot.process.as_ref())
            .map(|process| RouterAddress {
                name: process.name().to_owned(),
                addr: process.addr(),
            })
            .collect()
    }
}

/// The name of a router, in its settings and in records.
pub(super) fn router_name(router: usize) -> String {
    format!("r{}", router + 1)
}
