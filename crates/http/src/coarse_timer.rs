//! Low-resolution timers for the timeouts of many thousands of tasks, where a few milliseconds do not matter.
//!
//! All of them share one reactor timer, so that setting and dropping a timeout needs no system call.

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

/// The length of a tick, in which the driver wakes up once. A sleep never ends early. It ends up to two ticks late,
/// because it waits for the end of its tick and then for the next wake-up of the driver, or later on a busy thread.
pub const TICK: Duration = Duration::from_millis(10);

/// The key of a pending sleep: the tick after which it ends, and a sequence number that distinguishes sleeps of the
/// same tick.
type PendingKey = (u64, u64);

#[derive(Default)]
struct TimerState {
    /// The wakers of the pending sleeps, in the order in which they end.
    pending: BTreeMap<PendingKey, Waker>,
    next_sequence: u64,
    /// The waker of the driver task, which is suspended while no sleep is pending.
    driver: Option<Waker>,
}

/// Low-resolution timers for the tasks of one executor. Clones share one driver task.
#[derive(Clone)]
pub struct CoarseTimer {
    start: Instant,
    state: Rc<RefCell<TimerState>>,
}

impl CoarseTimer {
    /// Creates a timer and spawns its driver task.
    pub fn new(spawner: &Spawner) -> CoarseTimer {
        let timer = CoarseTimer {
            start: Instant::now(),
            state: Rc::default(),
        };
        spawner.spawn(timer.clone().run());
        timer
    }

    /// Returns a future that completes after `duration`.
    pub fn sleep(&self, duration: Duration) -> Sleep {
        Sleep {
            timer: self.clone(),
            until: Instant::now() + duration,
            key: None,
        }
    }

    /// Waits at most `limit` for a future, and drops it if it takes longer.
    ///
    /// # Errors
    ///
    /// Returns the future's own error, or an I/O error of kind [`TimedOut`](io::ErrorKind::TimedOut) if it takes
    /// longer.
    pub async fn timeout<T, E: From<io::Error>>(
        &self,
        limit: Duration,
        future: impl Future<Output = Result<T, E>>,
    ) -> Result<T, E> {
        future::or(future, async {
            self.sleep(limit).await;
            Err(io::Error::from(io::ErrorKind::TimedOut).into())
        })
        .await
    }

    fn tick_at(&self, time: Instant) -> u64 {
        (time.saturating_duration_since(self.start).as_micros() / TICK.as_micros()) as u64
    }

    async fn run(self) {
        loop {
            self.wait_until_pending().await;
            Timer::after(TICK).await;
            let now = self.tick_at(Instant::now());
            while let Some(waker) = self.take_expired(now) {
                waker.wake();
            }
        }
    }

    /// Waits until a sleep is pending.
    async fn wait_until_pending(&self) {
        future::poll_fn(|cx| {
            let mut state = self.state.borrow_mut();
            if state.pending.is_empty() {
                state.driver = Some(cx.waker().clone());
                return Poll::Pending;
            }
            Poll::Ready(())
        })
        .await;
    }

    fn take_expired(&self, now: u64) -> Option<Waker> {
        let mut state = self.state.borrow_mut();
        let entry = state.pending.first_entry()?;
        let (tick, _) = *entry.key();
        (tick < now).then(|| entry.remove())
    }
}

/// A future that completes at a set time. Dropping it removes it from its [`CoarseTimer`].
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
        let state = self.timer.state.clone();
        let mut state = state.borrow_mut();
        if let Some(waker) = self.key.and_then(|key| state.pending.get_mut(&key)) {
            waker.clone_from(cx.waker());
            return Poll::Pending;
        }
        let key = (self.timer.tick_at(self.until), state.next_sequence);
        state.next_sequence += 1;
        state.pending.insert(key, cx.waker().clone());
        self.key = Some(key);
        if let Some(driver) = state.driver.take() {
            driver.wake();
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.timer.state.borrow_mut().pending.remove(&key);
        }
    }
}

#[cfg(test)]
mod tests;
