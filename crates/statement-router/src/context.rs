//! The state that the parts of a running router share.

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

/// The state of a running router that front ends and tasks share. It does not depend on them.
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
    /// Creates the context of a router with these settings. `incarnation` distinguishes this process of the router
    /// from others. The URIs of statements carry authenticated tokens, which stay valid in later processes of the
    /// router with the same name and secret.
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

    /// Returns the current settings. Indices of classes, kinds and zones stay valid; new ones may be appended.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    pub(crate) fn set_settings(&self, settings: Rc<Settings>) {
        *self.settings.borrow_mut() = settings;
    }

    /// Returns the router's membership in a coordinated fleet, if it has one.
    pub fn fleet_member(&self) -> Option<&Rc<FleetMember>> {
        self.fleet_member.as_ref()
    }

    /// Returns the key of the router's tokens.
    pub fn token_key(&self) -> &TokenKey {
        &self.token_key
    }

    /// Returns the id of this incarnation.
    pub fn incarnation(&self) -> &str {
        &self.incarnation
    }

    /// Returns the event loop that drives the core.
    pub fn event_loop(&self) -> &EventLoop {
        &self.event_loop
    }

    /// Returns the client of the engines.
    pub fn engines(&self) -> &Rc<EngineClient> {
        &self.engines
    }

    /// Returns the coarse timer on which polls wait.
    pub fn timer(&self) -> &CoarseTimer {
        &self.timer
    }

    /// Returns the spawner of the router's tasks.
    pub fn spawner(&self) -> &Spawner {
        &self.spawner
    }

    /// Returns whether a graceful shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    pub(crate) fn begin_shutdown(&self) {
        self.is_shutting_down.set(true);
    }

    /// Returns the number of engines on the last list.
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
    /// Panics if the core is already borrowed.
    pub fn with_core<T>(&self, function: impl FnOnce(&mut Core, Micros) -> T) -> T {
        self.event_loop.with_core(function)
    }

    /// Returns the name of an engine.
    pub fn engine_name(&self, engine: EngineId) -> String {
        self.engines.engine_name(engine)
    }

    /// Listens for changes of a statement. Callers listen before they poll the core, so that no change is missed.
    pub fn listen(&self, id: StatementId) -> EventListener {
        self.event_loop.listen(id)
    }

    /// Releases the event of a statement if it has no listeners left.
    pub fn release_listener(&self, id: StatementId) {
        self.event_loop.release_listener(id);
    }
}
