//! Owns what fronts and other parts beside them need of a running router: its core at its rounds, its settings, and the
//! names under which it answers. It lies below all of them, and knows none.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use event_listener::EventListener;
use hoptiller_http::{CoarseTimer, Spawner};
use hoptiller_policy::{EngineId, Micros};
use hoptiller_statement::TokenKey;

use crate::agreed::Agreed;
use crate::engines::Engines;
use crate::settings::Settings;
use hoptiller_router_core::event_loop::EventLoop;
use hoptiller_router_core::{Core, StatementId};

/// What is asked at a running router.
pub struct Desk {
    /// Its settings as they are now; see [`Desk::settings`].
    pub current: RefCell<Rc<Settings>>,
    /// Its part in the fleet's agreement, where it has one.
    pub agreed: Option<Rc<Agreed>>,
    /// The key of its tokens.
    pub key: TokenKey,
    /// The name of this life.
    pub life: String,
    /// Its core, and the rounds of it.
    pub rounds: EventLoop,
    /// Its engines.
    pub engines: Rc<Engines>,
    /// Coarse timers, for the waits of polls.
    pub timer: CoarseTimer,
    /// What its tasks are started with.
    pub ex: Spawner,
    /// Whether it was told to end.
    pub ending: Cell<bool>,
    /// Engines on the last list.
    pub listed: Cell<usize>,
}

impl Desk {
    /// Its settings as they are now. Numbers of classes, kinds and zones stay; others may come behind.
    pub fn settings(&self) -> Rc<Settings> {
        self.current.borrow().clone()
    }

    /// The core, for one call; rounds are rung for behind it.
    pub fn with_core<T>(&self, act: impl FnOnce(&mut Core, Micros) -> T) -> T {
        self.rounds.with_core(act)
    }

    /// An engine's name.
    pub fn engine_name(&self, engine: EngineId) -> String {
        self.engines.name(engine)
    }

    /// Waits for news of a statement; to be made before the core is asked, so that no news is missed.
    pub fn listen(&self, id: StatementId) -> EventListener {
        self.rounds.listen(id)
    }

    /// Nobody may wait for a statement any more: forgets its bell then.
    pub fn unlisten(&self, id: StatementId) {
        self.rounds.release_listener(id);
    }
}
