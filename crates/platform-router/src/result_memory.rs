//! The limit on memory for results of several pages while they are fetched.

use std::cell::Cell;
use std::rc::Rc;

/// Limits the bytes that all results together may reserve.
pub(crate) struct ResultMemory {
    max_bytes: u64,
    reserved: Rc<Cell<u64>>,
}

/// Memory reserved for one result. It is released on drop.
pub(crate) struct ResultReservation {
    reserved: Rc<Cell<u64>>,
    bytes: u64,
}

impl ResultMemory {
    pub(crate) fn new(max_bytes: u64) -> ResultMemory {
        ResultMemory {
            max_bytes,
            reserved: Rc::default(),
        }
    }

    /// Reserves memory if enough is free. A result larger than the limit is accepted while no other is reserved.
    pub(crate) fn try_reserve(&self, bytes: u64) -> Option<ResultReservation> {
        let reserved = self.reserved.get();
        if reserved != 0 && reserved + bytes > self.max_bytes {
            return None;
        }
        self.reserved.set(reserved + bytes);
        Some(ResultReservation {
            reserved: self.reserved.clone(),
            bytes,
        })
    }
}

impl Drop for ResultReservation {
    fn drop(&mut self) {
        self.reserved.set(self.reserved.get() - self.bytes);
    }
}
