//! The memory for request content that is still arriving, of all connections of a server together.

use std::cell::Cell;
use std::rc::Rc;

/// A bounded number of bytes.
pub(super) struct IncomingBudget {
    max: u64,
    reserved: Cell<u64>,
}

impl IncomingBudget {
    pub(super) fn new(max: u64) -> IncomingBudget {
        IncomingBudget {
            max,
            reserved: Cell::new(0),
        }
    }

    /// A reservation for one request, of no bytes yet.
    pub(super) fn reservation(self: &Rc<IncomingBudget>) -> IncomingReservation {
        IncomingReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// The bytes that one arriving request has reserved; released when dropped.
pub(super) struct IncomingReservation {
    budget: Rc<IncomingBudget>,
    bytes: u64,
}

impl IncomingReservation {
    /// Reserves further bytes; `false` if the budget does not suffice.
    pub(super) fn try_grow(&mut self, bytes: u64) -> bool {
        let reserved = self.budget.reserved.get() + bytes;
        if reserved > self.budget.max {
            return false;
        }
        self.budget.reserved.set(reserved);
        self.bytes += bytes;
        true
    }
}

impl Drop for IncomingReservation {
    fn drop(&mut self) {
        let reserved = self.budget.reserved.get();
        self.budget.reserved.set(reserved - self.bytes);
    }
}
