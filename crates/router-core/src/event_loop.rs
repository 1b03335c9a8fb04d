//! The event loop of a core: its clock, its batches of decisions, and notifications to clients that wait for updates.
//!
//! The loop passes the core's commands to a [`CommandExecutor`]. Client protocols and other users of the core depend on
//! this module and not on the router that connects them.

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

/// Reading of the core's clock at its start: 24 hours. Times are unsigned, and engines that started before the router
/// need a start time, too.
const CLOCK_ORIGIN: Micros = 24 * 3_600_000_000;

/// Pause after a batch, as a multiple of the batch's duration. Batches take at most a tenth of the thread's time unless
/// `max_pause` cuts the pause short.
const PAUSE_FACTOR: u32 = 9;

/// Executes the commands that a core returns.
pub trait CommandExecutor {
    /// Executes one command.
    fn execute(&self, command: Command);
}

/// The number and total duration of an event loop's batches.
#[derive(Clone, Copy, Debug, Default)]
pub struct BatchStats {
    /// Number of batches run so far.
    pub batches: u64,
    /// Wall-clock time spent in batches.
    pub busy: Duration,
}

/// An event loop that drives one core.
pub struct EventLoop {
    core: RefCell<Core>,
    executor: Weak<dyn CommandExecutor>,
    /// Maximum pause between batches while events are queued.
    max_pause: Duration,
    started_at: Instant,
    /// Notified when the core has events for a batch.
    events_available: Event,
    /// Notified when a statement has updates, by statement.
    statement_updates: RefCell<HashMap<StatementId, Rc<Event>>>,
    stats: Cell<BatchStats>,
}

impl EventLoop {
    /// Creates an event loop for a core and starts the core's clock. `max_pause` limits the pause between batches while
    /// events are queued. Once the executor is dropped, commands stay in the core.
    pub fn new(core: Core, max_pause: Duration, executor: Weak<dyn CommandExecutor>) -> EventLoop {
        EventLoop {
            core: RefCell::new(core),
            executor,
            max_pause,
            started_at: Instant::now(),
            events_available: Event::new(),
            statement_updates: RefCell::default(),
            stats: Cell::default(),
        }
    }

    /// Returns the current time of the core's clock.
    pub fn now(&self) -> Micros {
        CLOCK_ORIGIN + self.started_at.elapsed().as_micros() as Micros
    }

    /// Converts a time of the core's clock to the monotonic clock of the machine.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started_at + Duration::from_micros(at.saturating_sub(CLOCK_ORIGIN))
    }

    /// Borrows the core. Commands that result are executed by the next batch or call of [`EventLoop::with_core`];
    /// events that result do not trigger a batch.
    ///
    /// # Panics
    ///
    /// Panics if the core is already borrowed.
    pub fn core(&self) -> RefMut<'_, Core> {
        self.core.borrow_mut()
    }

    /// Calls a function on the core, executes the resulting commands, and triggers a batch if events are queued.
    ///
    /// # Panics
    ///
    /// Panics if the core is already borrowed.
    pub fn with_core<T>(&self, operation: impl FnOnce(&mut Core, Micros) -> T) -> T {
        let now = self.now();
        let (value, has_events) = {
            let mut core = self.core();
            let value = operation(&mut core, now);
            (value, core.has_events())
        };
        self.execute_commands();
        if has_events {
            self.events_available.notify(1);
        }
        value
    }

    /// Listens for updates of a statement. Callers must listen before they poll the core, so that they miss no update.
    pub fn listen(&self, id: StatementId) -> EventListener {
        self.statement_updates
            .borrow_mut()
            .entry(id)
            .or_default()
            .listen()
    }

    /// Removes the statement's event if it has no listeners left.
    pub fn release_listener(&self, id: StatementId) {
        let mut statement_updates = self.statement_updates.borrow_mut();
        if statement_updates
            .get(&id)
            .is_some_and(|updates| updates.total_listeners() == 0)
        {
            statement_updates.remove(&id);
        }
    }

    /// Notifies all listeners of a statement.
    pub fn notify_waiters(&self, id: StatementId) {
        if let Some(updates) = self.statement_updates.borrow().get(&id) {
            updates.notify(usize::MAX);
        }
    }

    /// Returns the number and total duration of the batches run so far.
    pub fn batch_stats(&self) -> BatchStats {
        self.stats.get()
    }

    /// Runs batches forever: when the core has events, and when its timer is due.
    ///
    /// # Panics
    ///
    /// Panics if another task keeps the core borrowed while it is suspended.
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
            Timer::after((batch_duration * PAUSE_FACTOR).min(self.max_pause)).await;
        }
    }

    /// Runs one batch and executes its commands. Returns the time that this took.
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
            // The borrow ends before the command is executed, because the executor may use the core.
            let command = self.core().next_command();
            let Some(command) = command else { break };
            executor.execute(command);
        }
    }
}
