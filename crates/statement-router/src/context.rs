//! What the parts of a running router share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use event_listener::EventListener;
use hoptiller_http::{CoarseTimer, Spawner};
use hoptiller_policy::{EngineId, Micros};
use hoptiller_router_core::event_loop::EventLoop;
use hoptiller_router_core::{Core, StatementId};
use hoptiller_statement::TokenKey;

use crate::engines::EngineClient;
use crate::fleet_member::FleetMember;
use crate::settings::Settings;

/// What front ends and tasks share of a running router. It knows none of them.
pub struct RouterContext {
    settings: RefCell<Rc<Settings>>,
    fleet_member: Option<Rc<FleetMember>>,
    token_key: TokenKey,
    incarnation: String,
    event_loop: EventLoop,
    engines: Rc<EngineClient>,
    timer: CoarseTimer,
    spawner: Spawner,
    is_shutting_down: Cell<bool>,
    listed_engines: Cell<usize>,
}

impl RouterContext {
    /// The context of a router with these settings. `incarnation` distinguishes this process of the router from others;
    /// with the secret, its tokens stay valid in later ones.
    pub(crate) fn new(
        settings: Rc<Settings>,
        secret: &[u8],
        incarnation: String,
        event_loop: EventLoop,
        engines: EngineClient,
        fleet_member: Option<Rc<FleetMember>>,
        spawner: Spawner,
    ) -> RouterContext {
        RouterContext {
            token_key: TokenKey::new(secret, &settings.router.name),
            settings: RefCell::new(settings),
            fleet_member,
            incarnation,
            event_loop,
            engines: Rc::new(engines),
            timer: CoarseTimer::new(&spawner),
            spawner,
            is_shutting_down: Cell::new(false),
            listed_engines: Cell::new(0),
        }
    }

    /// The current settings. Indices of classes, kinds and zones stay valid; further ones may be appended.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    pub(crate) fn set_settings(&self, settings: Rc<Settings>) {
        *self.settings.borrow_mut() = settings;
    }

    /// The router's membership in a coordinated fleet, if it has one.
    pub fn fleet_member(&self) -> Option<&Rc<FleetMember>> {
        self.fleet_member.as_ref()
    }

    /// The key of the router's tokens.
    pub fn token_key(&self) -> &TokenKey {
        &self.token_key
    }

    /// The name of this incarnation.
    pub fn incarnation(&self) -> &str {
        &self.incarnation
    }

    /// The event loop that drives the core.
    pub fn event_loop(&self) -> &EventLoop {
        &self.event_loop
    }

    /// The client of the engines.
    pub fn engines(&self) -> &Rc<EngineClient> {
        &self.engines
    }

    /// A coarse timer, for the many waits of polls.
    pub fn timer(&self) -> &CoarseTimer {
        &self.timer
    }

    /// Spawns tasks of the router.
    pub fn spawner(&self) -> &Spawner {
        &self.spawner
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    pub(crate) fn begin_shutdown(&self) {
        self.is_shutting_down.set(true);
    }

    /// The number of engines on the last list.
    pub fn listed_engines(&self) -> usize {
        self.listed_engines.get()
    }

    pub(crate) fn set_listed_engines(&self, count: usize) {
        self.listed_engines.set(count);
    }

    /// Calls a function on the core; see [`EventLoop::with_core`].
    ///
    /// # Panics
    ///
    /// If the core is borrowed already.
    pub fn with_core<T>(&self, function: impl FnOnce(&mut Core, Micros) -> T) -> T {
        self.event_loop.with_core(function)
    }

    /// The name of an engine.
    pub fn engine_name(&self, engine: EngineId) -> String {
        self.engines.engine_name(engine)
    }

    /// Listens for news of a statement. To be called before the core is polled, so that no news is missed.
    pub fn listen(&self, id: StatementId) -> EventListener {
        self.event_loop.listen(id)
    }

    /// Releases the event of a statement if nobody listens for it any more.
    pub fn release_listener(&self, id: StatementId) {
        self.event_loop.release_listener(id);
    }
}
