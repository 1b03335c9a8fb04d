//! The memory budget for the content of incomplete requests of all connections of a server.

use std::cell::Cell;
use std::rc::Rc;

/// A budget of bytes that requests reserve while they arrive.
pub(super) struct IncomingBudget {
    max_bytes: u64,
    reserved_bytes: Cell<u64>,
}

impl IncomingBudget {
    pub(super) fn new(max_bytes: u64) -> IncomingBudget {
        IncomingBudget {
            max_bytes,
            reserved_bytes: Cell::new(0),
        }
    }

    /// Creates an empty reservation for one request.
    pub(super) fn reservation(self: &Rc<IncomingBudget>) -> IncomingReservation {
        IncomingReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// The bytes that one incomplete request has reserved, released when dropped.
pub(super) struct IncomingReservation {
    budget: Rc<IncomingBudget>,
    bytes: u64,
}

impl IncomingReservation {
    /// Reserves further bytes if the budget allows it, and returns whether it does.
    pub(super) fn try_grow(&mut self, bytes: u64) -> bool {
        let reserved = self.budget.reserved_bytes.get() + bytes;
        if reserved > self.budget.max_bytes {
            return false;
        }
        self.budget.reserved_bytes.set(reserved);
        self.bytes += bytes;
        true
    }
}

impl Drop for IncomingReservation {
    fn drop(&mut self) {
        let reserved = self.budget.reserved_bytes.get();
        self.budget.reserved_bytes.set(reserved - self.bytes);
    }
}
