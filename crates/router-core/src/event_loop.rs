//! Runs a core: its clock, its batches of decisions, and notifications to those who wait for updates of a statement.
//!
//! The commands that the core yields go to a [`CommandExecutor`]. Client protocols, and other parts that ask the core,
//! depend on this module and not on the router that connects them.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use async_io::Timer;
use event_listener::{Event, EventListener};
use futures_lite::future;
use hoptiller_policy::Micros;

use crate::command::Command;
use crate::core::Core;
use crate::identity::StatementId;

/// Reading of the core's clock at its start, 24 hours: engines that started before the router have a start time too.
const CLOCK_ORIGIN: Micros = 24 * 3_600_000_000;

/// Pause after a batch, as a multiple of the batch's duration: batches take a tenth of the thread at most.
const PAUSE_PER_BATCH: u32 = 9;

/// Carries out the commands that a core yields.
pub trait CommandExecutor {
    /// Carries out one command.
    fn execute(&self, command: Command);
}

/// How many batches the event loop has run, and for how long.
#[derive(Clone, Copy, Debug, Default)]
pub struct BatchStats {
    /// Batches run so far.
    pub batches: u64,
    /// Wall-clock time spent in them.
    pub busy: Duration,
}

/// A core that runs.
pub struct EventLoop {
    core: RefCell<Core>,
    executor: Weak<dyn CommandExecutor>,
    /// The longest pause between batches while there is something to decide.
    tick: Duration,
    started_at: Instant,
    /// Notified when the core has events for a batch.
    events_available: Event,
    /// By statement: notified when there are updates of it.
    statement_updates: RefCell<HashMap<StatementId, Rc<Event>>>,
    stats: Cell<BatchStats>,
}

impl EventLoop {
    /// An event loop for a core, whose clock starts now. Once the executor is dropped, commands stay in the core.
    pub fn new(core: Core, tick: Duration, executor: Weak<dyn CommandExecutor>) -> EventLoop {
        EventLoop {
            core: RefCell::new(core),
            executor,
            tick,
            started_at: Instant::now(),
            events_available: Event::new(),
            statement_updates: RefCell::default(),
            stats: Cell::default(),
        }
    }

    /// The current time of the core's clock.
    pub fn now(&self) -> Micros {
        CLOCK_ORIGIN + self.started_at.elapsed().as_micros() as Micros
    }

    /// Converts a time of the core's clock to one of the machine's monotonic clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started_at + Duration::from_micros(at.saturating_sub(CLOCK_ORIGIN))
    }

    /// Borrows the core; commands that it yields meanwhile are not carried out.
    ///
    /// # Panics
    ///
    /// If the core is borrowed already.
    pub fn core(&self) -> RefMut<'_, Core> {
        self.core.borrow_mut()
    }

    /// Calls a function on the core, carries out the commands that it yields, and starts a batch if it left events.
    ///
    /// # Panics
    ///
    /// If the core is borrowed already.
    pub fn with_core<T>(&self, act: impl FnOnce(&mut Core, Micros) -> T) -> T {
        let now = self.now();
        let (value, has_events) = {
            let mut core = self.core();
            let value = act(&mut core, now);
            (value, core.has_events())
        };
        self.execute_commands();
        if has_events {
            self.events_available.notify(1);
        }
        value
    }

    /// Listens for updates of a statement. To be called before the core is polled, so that no update is missed.
    pub fn listen(&self, id: StatementId) -> EventListener {
        self.statement_updates
            .borrow_mut()
            .entry(id)
            .or_default()
            .listen()
    }

    /// Removes the statement's event if nobody listens for it any more.
    pub fn release_listener(&self, id: StatementId) {
        let mut statement_updates = self.statement_updates.borrow_mut();
        if statement_updates
            .get(&id)
            .is_some_and(|updates| updates.total_listeners() == 0)
        {
            statement_updates.remove(&id);
        }
    }

    /// Notifies all who listen for updates of a statement.
    pub fn notify_waiters(&self, id: StatementId) {
        if let Some(updates) = self.statement_updates.borrow().get(&id) {
            updates.notify(usize::MAX);
        }
    }

    /// How many batches have run so far, and for how long.
    pub fn batch_stats(&self) -> BatchStats {
        self.stats.get()
    }

    /// Runs batches for ever: when the core has events, and when its timer is due.
    ///
    /// # Panics
    ///
    /// If the core is borrowed by a task that waits.
    pub async fn run(&self) {
        loop {
            let events_available = self.events_available.listen();
            let (has_events, wake_at) = {
                let core = self.core();
                (core.has_events(), core.wake_at())
            };
            if !has_events {
                let timeout =
                    wake_at.map(|at| Duration::from_micros(at.saturating_sub(self.now())));
                future::or(events_available, async {
                    match timeout {
                        Some(timeout) => Timer::after(timeout).await,
                        None => future::pending().await,
                    };
                })
                .await;
            }
            let batch_duration = self.run_batch();
            Timer::after((batch_duration * PAUSE_PER_BATCH).min(self.tick)).await;
        }
    }

    /// Runs one batch and carries out its commands; returns how long that took.
    fn run_batch(&self) -> Duration {
        let started_at = Instant::now();
        let now = self.now();
        self.core().run_batch(now);
        self.execute_commands();
        let duration = started_at.elapsed();
        let stats = self.stats.get();
        self.stats.set(BatchStats {
            batches: stats.batches + 1,
            busy: stats.busy + duration,
        });
        duration
    }

    fn execute_commands(&self) {
        let Some(executor) = self.executor.upgrade() else {
            return;
        };
        loop {
            // The borrow ends before the command is carried out: the executor may use the core.
            let command = self.core().next_command();
            let Some(command) = command else { break };
            executor.execute(command);
        }
    }
}
