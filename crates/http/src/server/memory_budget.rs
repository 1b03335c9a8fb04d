//! Memory budgets of a server: what its connections together hold of requests, and of responses.

use std::cell::Cell;
use std::rc::Rc;

use event_listener::{Event, EventListener};

/// A number of bytes that connections share.
pub(super) struct MemoryBudget {
    max_bytes: u64,
    reserved_bytes: Cell<u64>,
    /// Notified when reserved bytes are released.
    released: Event,
}

impl MemoryBudget {
    pub(super) fn new(max_bytes: u64) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget {
            max_bytes,
            reserved_bytes: Cell::new(0),
            released: Event::new(),
        })
    }

    /// Creates an empty reservation.
    pub(super) fn reservation(self: &Rc<MemoryBudget>) -> MemoryReservation {
        MemoryReservation {
            budget: self.clone(),
            bytes: Cell::new(0),
        }
    }

    /// Returns a listener that is notified when reserved bytes are released.
    pub(super) fn listen(&self) -> EventListener {
        self.released.listen()
    }
}

/// A part of a budget, released when dropped.
pub(super) struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    bytes: Cell<u64>,
}

impl MemoryReservation {
    /// Changes the number of reserved bytes. Returns `false`, without a change, if they are more than before and exceed
    /// the budget.
    pub(super) fn try_resize(&self, bytes: u64) -> bool {
        let old = self.bytes.get();
        let by_others = self.reserved_by_others();
        if bytes > old && by_others + bytes > self.budget.max_bytes {
            return false;
        }
        self.budget.reserved_bytes.set(by_others + bytes);
        self.bytes.set(bytes);
        if bytes < old {
            self.budget.released.notify(usize::MAX);
        }
        true
    }

    /// Changes the number of reserved bytes like [`try_resize`](MemoryReservation::try_resize), but permits any number
    /// while nothing else is reserved.
    pub(super) fn try_resize_or_be_sole(&self, bytes: u64) -> bool {
        if self.reserved_by_others() == 0 {
            self.budget.reserved_bytes.set(bytes);
            self.bytes.set(bytes);
            return true;
        }
        self.try_resize(bytes)
    }

    fn reserved_by_others(&self) -> u64 {
        self.budget.reserved_bytes.get() - self.bytes.get()
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.try_resize(0);
    }
}

/// The memory that one connection holds of its requests. A part of it, the allowance, is free to each connection, so
/// that usual requests are served while others have reserved the whole budget; the rest is reserved.
pub(super) struct RequestMemory {
    allowance_bytes: u64,
    reservation: MemoryReservation,
    /// Bytes that have been received and not been decoded.
    input_bytes: Cell<u64>,
    /// Bytes of the request that is being received or handled.
    request_bytes: Cell<u64>,
}

impl RequestMemory {
    pub(super) fn new(budget: &Rc<MemoryBudget>, allowance_bytes: u64) -> RequestMemory {
        RequestMemory {
            allowance_bytes,
            reservation: budget.reservation(),
            input_bytes: Cell::new(0),
            request_bytes: Cell::new(0),
        }
    }

    /// Sets the memory of received bytes that are not decoded. Returns `false`, without a change, if it has grown beyond
    /// the budget.
    pub(super) fn try_set_input(&self, bytes: usize) -> bool {
        let is_set = self.try_reserve(bytes as u64 + self.request_bytes.get());
        if is_set {
            self.input_bytes.set(bytes as u64);
        }
        is_set
    }

    /// Sets the memory of the request that is being received or handled. Returns `false`, without a change, if it has
    /// grown beyond the budget.
    pub(super) fn try_set_request(&self, bytes: usize) -> bool {
        let is_set = self.try_reserve(self.input_bytes.get() + bytes as u64);
        if is_set {
            self.request_bytes.set(bytes as u64);
        }
        is_set
    }

    fn try_reserve(&self, held_bytes: u64) -> bool {
        self.reservation
            .try_resize(held_bytes.saturating_sub(self.allowance_bytes))
    }
}

#[cfg(test)]
mod tests;
