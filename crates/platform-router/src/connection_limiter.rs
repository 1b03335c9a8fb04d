//! The limit on connections to engines.

use std::cell::Cell;
use std::rc::Rc;

/// Limits the connections to all engines, including those being established.
pub(crate) struct ConnectionLimiter {
    max: usize,
    open: Rc<Cell<usize>>,
}

/// A permit for one connection. It is returned on drop.
pub(crate) struct ConnectionPermit(Rc<Cell<usize>>);

impl ConnectionLimiter {
    pub(crate) fn new(max: usize) -> ConnectionLimiter {
        ConnectionLimiter {
            max,
            open: Rc::default(),
        }
    }

    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    pub(crate) fn is_exhausted(&self) -> bool {
        self.open.get() >= self.max
    }

    pub(crate) fn try_acquire(&self) -> Option<ConnectionPermit> {
        if self.is_exhausted() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionPermit(self.open.clone()))
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
