//! The state of the routers of a fleet: processes and pauses.

use hoptiller_audit::unix_micros;

use crate::client_load::RouterAddress;
use crate::process::Process;

/// The routers of a fleet, indexed from 0. All methods that take an index panic if there is no such router.
pub(super) struct Routers {
    slots: Vec<RouterSlot>,
}

#[derive(Default)]
struct RouterSlot {
    process: Option<Process>,
    /// Start of the current pause, in µs since the Unix epoch; `None` if the router is not paused.
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

    /// Kills the process of a router. Returns whether there was one.
    pub(super) fn kill(&mut self, router: usize) -> bool {
        self.slots[router].process.take().is_some()
    }

    /// Pauses a router. Pausing it again keeps the start of the first pause.
    pub(super) fn pause(&mut self, router: usize) {
        let slot = &mut self.slots[router];
        if let Some(process) = &slot.process {
            slot.paused_at.get_or_insert(unix_micros());
            process.pause();
        }
    }

    /// Clears the pause of a router, whose process must then be [resumed](Routers::resume). Returns the start of the
    /// pause, in µs since the Unix epoch; `None` if the router was not paused.
    pub(super) fn end_pause(&mut self, router: usize) -> Option<u64> {
        self.slots[router].paused_at.take()
    }

    pub(super) fn resume(&self, router: usize) {
        self.slots[router].process.iter().for_each(Process::resume);
    }

    /// Returns the routers that are running and not paused.
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

/// Returns the name of a router in its settings and in records.
pub(super) fn router_name(router: usize) -> String {
    format!("r{}", router + 1)
}
