//! Timers of low resolution for the timeouts of many thousand tasks, for which a few milliseconds do not matter.
//!
//! One timer of the reactor serves them all, so that setting and dropping a timeout costs no system call.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

use crate::spawner::Spawner;

/// The resolution: a wait lasts up to so much longer than asked for, and never shorter.
pub const RESOLUTION: Duration = Duration::from_millis(10);

/// Identifies a pending wait: the tick after which it ends, and a number that tells waits of the same tick apart.
type PendingKey = (u64, u64);

#[derive(Default)]
struct Inner {
    /// Wakers of the waits, in the order in which they end.
    pending: BTreeMap<PendingKey, Waker>,
    next_number: u64,
    /// Wakes the driver, which sleeps while nothing is pending.
    driver: Option<Waker>,
}

/// Coarse timers of the tasks of one executor. Clones share one driver.
#[derive(Clone)]
pub struct CoarseTimer {
    start: Instant,
    inner: Rc<RefCell<Inner>>,
}

impl CoarseTimer {
    /// Timers driven by a task of that executor.
    pub fn new(spawner: &Spawner) -> CoarseTimer {
        let timer = CoarseTimer {
            start: Instant::now(),
            inner: Rc::default(),
        };
        spawner.spawn(timer.clone().run());
        timer
    }

    /// Completes after `duration`.
    pub fn sleep(&self, duration: Duration) -> Sleep {
        Sleep {
            timer: self.clone(),
            until: Instant::now() + duration,
            key: None,
        }
    }

    /// Waits for a future for `limit` at most.
    ///
    /// # Errors
    ///
    /// The future's own, or an I/O error of kind [`TimedOut`](io::ErrorKind::TimedOut); the future is then dropped.
    pub async fn timeout<T, E: From<io::Error>>(
        &self,
        limit: Duration,
        work: impl Future<Output = Result<T, E>>,
    ) -> Result<T, E> {
        future::or(work, async {
            self.sleep(limit).await;
            Err(io::Error::from(io::ErrorKind::TimedOut).into())
        })
        .await
    }

    fn tick_at(&self, time: Instant) -> u64 {
        (time.saturating_duration_since(self.start).as_micros() / RESOLUTION.as_micros()) as u64
    }

    async fn run(self) {
        loop {
            self.until_pending().await;
            Timer::after(RESOLUTION).await;
            let now = self.tick_at(Instant::now());
            while let Some(waker) = self.take_expired(now) {
                waker.wake();
            }
        }
    }

    /// Completes once something is pending.
    async fn until_pending(&self) {
        future::poll_fn(|cx| {
            let mut inner = self.inner.borrow_mut();
            if inner.pending.is_empty() {
                inner.driver = Some(cx.waker().clone());
                return Poll::Pending;
            }
            Poll::Ready(())
        })
        .await;
    }

    fn take_expired(&self, now: u64) -> Option<Waker> {
        let mut inner = self.inner.borrow_mut();
        let entry = inner.pending.first_entry()?;
        let (tick, _) = *entry.key();
        (tick < now).then(|| entry.remove())
    }
}

/// A wait of a [`CoarseTimer`]. Dropping it cancels it.
pub struct Sleep {
    timer: CoarseTimer,
    until: Instant,
    key: Option<PendingKey>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.until {
            return Poll::Ready(());
        }
        let inner = self.timer.inner.clone();
        let mut inner = inner.borrow_mut();
        if let Some(waker) = self.key.and_then(|key| inner.pending.get_mut(&key)) {
            waker.clone_from(cx.waker());
            return Poll::Pending;
        }
        let key = (self.timer.tick_at(self.until), inner.next_number);
        inner.next_number += 1;
        inner.pending.insert(key, cx.waker().clone());
        self.key = Some(key);
        if let Some(driver) = inner.driver.take() {
            driver.wake();
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.timer.inner.borrow_mut().pending.remove(&key);
        }
    }
}

#[cfg(test)]
mod tests;
