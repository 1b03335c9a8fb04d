//! Owns coarse timers: time limits and waits of many thousand tasks, for which a few milliseconds do not matter.
//!
//! One timer of the operating system serves them all, so that setting and dropping one costs no call into it.

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

use crate::spawn::Spawner;

/// How coarse they are: a wait is up to this much longer than asked for, and never shorter.
pub const TICK: Duration = Duration::from_millis(10);

#[derive(Default)]
struct Inner {
    /// Who is to be woken, by the tick after which.
    line: BTreeMap<(u64, u64), Waker>,
    next: u64,
    /// The driver sleeps, as nobody waits: who wakes it.
    driver: Option<Waker>,
}

/// Coarse timers of the tasks of one executor.
#[derive(Clone)]
pub struct Ticks {
    start: Instant,
    inner: Rc<RefCell<Inner>>,
}

impl Ticks {
    /// Timers driven by a task of that executor.
    pub fn new(spawner: &Spawner) -> Ticks {
        let ticks = Ticks {
            start: Instant::now(),
            inner: Rc::default(),
        };
        spawner.spawn(ticks.clone().drive());
        ticks
    }

    fn tick_of(&self, at: Instant) -> u64 {
        (at.saturating_duration_since(self.start).as_micros() / TICK.as_micros()) as u64
    }

    async fn drive(self) {
        loop {
            future::poll_fn(|cx| {
                let mut inner = self.inner.borrow_mut();
                if inner.line.is_empty() {
                    inner.driver = Some(cx.waker().clone());
                    return Poll::Pending;
                }
                Poll::Ready(())
            })
            .await;
            Timer::after(TICK).await;
            let now = self.tick_of(Instant::now());
            loop {
                let due = {
                    let mut inner = self.inner.borrow_mut();
                    match inner.line.first_key_value() {
                        Some(((tick, _), _)) if *tick < now => inner.line.pop_first(),
                        _ => None,
                    }
                };
                let Some((_, waker)) = due else { break };
                waker.wake();
            }
        }
    }

    /// Waits.
    pub fn sleep(&self, time: Duration) -> Sleep {
        Sleep {
            ticks: self.clone(),
            until: Instant::now() + time,
            key: None,
        }
    }

    /// The outcome of a future, or a time-out error.
    pub async fn within<T>(
        &self,
        limit: Duration,
        work: impl Future<Output = io::Result<T>>,
    ) -> io::Result<T> {
        future::or(work, async {
            self.sleep(limit).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        })
        .await
    }
}

/// A wait; see [`Ticks::sleep`].
pub struct Sleep {
    ticks: Ticks,
    until: Instant,
    key: Option<(u64, u64)>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.until {
            return Poll::Ready(());
        }
        let inner = self.ticks.inner.clone();
        let mut inner = inner.borrow_mut();
        match self.key.and_then(|key| inner.line.get_mut(&key)) {
            Some(waker) => waker.clone_from(cx.waker()),
            None => {
                let key = (self.ticks.tick_of(self.until), inner.next);
                inner.next += 1;
                inner.line.insert(key, cx.waker().clone());
                self.key = Some(key);
                if let Some(driver) = inner.driver.take() {
                    driver.wake();
                }
            }
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.ticks.inner.borrow_mut().line.remove(&key);
        }
    }
}

#[cfg(test)]
mod tests;
