//! Owns a core that runs: its clock, its rounds, and the bells of those who wait for news of a statement. What the
//! core orders goes to whoever carries it out. Fronts, and what else asks the core, know this and not the router that
//! ties them together.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use async_io::Timer;
use event_listener::{Event, EventListener};
use futures_lite::future;
use hoptiller_policy::Micros;

use crate::{Command, Core, StatementId};

/// The clock starts here, so that engines which started before the router have a time of their start too.
const CLOCK_START: Micros = 24 * 3_600_000_000;

/// Who carries out what a core orders.
pub trait CommandExecutor {
    /// One command.
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
    carrier: Weak<dyn CommandExecutor>,
    /// The longest pause between rounds while there is something to decide.
    tick: Duration,
    started: Instant,
    /// Rung when the core has something for a round.
    bell: Event,
    waiting: RefCell<HashMap<StatementId, Rc<Event>>>,
    /// EventLoop, and the time they took.
    stats: Cell<BatchStats>,
}

impl EventLoop {
    /// Of a core, whose clock starts now, and of who carries out what it orders; once that one is gone, nobody does.
    pub fn new(core: Core, tick: Duration, carrier: Weak<dyn CommandExecutor>) -> EventLoop {
        EventLoop {
            core: RefCell::new(core),
            carrier,
            tick,
            started: Instant::now(),
            bell: Event::new(),
            waiting: RefCell::default(),
            stats: Cell::default(),
        }
    }

    /// The core's clock.
    pub fn now(&self) -> Micros {
        CLOCK_START + self.started.elapsed().as_micros() as Micros
    }

    /// A time of the core's clock on the machine's.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started + Duration::from_micros(at.saturating_sub(CLOCK_START))
    }

    /// The core; nothing that it orders is carried out.
    pub fn core(&self) -> RefMut<'_, Core> {
        self.core.borrow_mut()
    }

    /// The core, for one call; what it orders is carried out, and a round is rung for where it has events.
    pub fn with_core<T>(&self, act: impl FnOnce(&mut Core, Micros) -> T) -> T {
        let now = self.now();
        let (value, more) = {
            let mut core = self.core();
            let value = act(&mut core, now);
            (value, core.has_events())
        };
        self.carry_out();
        if more {
            self.bell.notify(1);
        }
        value
    }

    /// Waits for news of a statement; to be made before the core is asked, so that no news is missed.
    pub fn listen(&self, id: StatementId) -> EventListener {
        self.waiting.borrow_mut().entry(id).or_default().listen()
    }

    /// Nobody may wait for a statement any more: forgets its bell then.
    pub fn release_listener(&self, id: StatementId) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting
            .get(&id)
            .is_some_and(|bell| bell.total_listeners() == 0)
        {
            waiting.remove(&id);
        }
    }

    /// There is news of a statement.
    pub fn notify_waiters(&self, id: StatementId) {
        if let Some(bell) = self.waiting.borrow().get(&id) {
            bell.notify(usize::MAX);
        }
    }

    /// EventLoop so far, and the time they took.
    pub fn batch_stats(&self) -> BatchStats {
        self.stats.get()
    }

    /// EventLoop for ever: when something has come, and when one is due.
    pub async fn run(&self) {
        loop {
            let rung = self.bell.listen();
            let (events, due) = {
                let core = self.core();
                (core.has_events(), core.wake_at())
            };
            if !events {
                let left = due.map(|at| Duration::from_micros(at.saturating_sub(self.now())));
                future::or(rung, async {
                    match left {
                        Some(left) => Timer::after(left).await,
                        None => future::pending().await,
                    };
                })
                .await;
            }
            let began = Instant::now();
            let now = self.now();
            self.core().run_batch(now);
            self.carry_out();
            let took = began.elapsed();
            let stats = self.stats.get();
            self.stats.set(BatchStats {
                batches: stats.batches + 1,
                busy: stats.busy + took,
            });
            // EventLoop take a tenth of the thread at most; the tick is the longest pause.
            Timer::after((took * 9).min(self.tick)).await;
        }
    }

    fn carry_out(&self) {
        let Some(carrier) = self.carrier.upgrade() else {
            return;
        };
        loop {
            let command = self.core().next_command();
            let Some(command) = command else { break };
            carrier.execute(command);
        }
    }
}
