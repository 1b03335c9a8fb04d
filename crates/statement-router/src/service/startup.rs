//! The construction and start of a router.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_io::Timer;
use hoptiller_http::{Spawner, server};
use hoptiller_policy::{Micros, SettingsError};
use hoptiller_router_core::event_loop::EventLoop;
use hoptiller_router_core::{Core, CoreLimits, RouterIdentity};
use hoptiller_runaway::RunawayDetector;

use super::{RESPONSE_MARGIN, Service, class_names};
use crate::context::RouterContext;
use crate::discovery::{Discovery, EndpointListener};
use crate::engines::{EngineClient, EngineOptions};
use crate::fleet_member::FleetMember;
use crate::front_end::{admin_api, statement_api};
use crate::settings::Settings;
use crate::statistics_store::StatisticsStore;

impl Service {
    /// Creates a router that is not part of a coordinated fleet. `secret` authenticates its tokens, and `incarnation`
    /// distinguishes this process of the router from others.
    ///
    /// # Errors
    ///
    /// Returns an error if the policy rejects the settings.
    pub fn new(
        settings: Settings,
        secret: &[u8],
        incarnation: String,
        spawner: Spawner,
    ) -> Result<Rc<Service>, SettingsError> {
        Service::with_fleet_member(settings, secret, incarnation, spawner, None)
    }

    /// Creates a router that is a member of a coordinated fleet if `fleet_member` is given; see [`Service::new`].
    ///
    /// # Errors
    ///
    /// Returns an error if the policy rejects the settings.
    pub fn with_fleet_member(
        settings: Settings,
        secret: &[u8],
        incarnation: String,
        spawner: Spawner,
        fleet_member: Option<Rc<FleetMember>>,
    ) -> Result<Rc<Service>, SettingsError> {
        let identity = RouterIdentity {
            router: settings.router.name.clone(),
            incarnation: incarnation.clone(),
        };
        let core = Core::new(
            settings.policy_settings(),
            settings.router.seed,
            core_limits(&settings),
            Some(RunawayDetector::new(settings.runaway_settings())),
            identity.clone(),
        )?;
        let engines =
            EngineClient::new(engine_options(&settings, identity), class_names(&settings));
        let state_dir = settings.router.state_dir.as_deref();
        let statistics_store = state_dir.map(StatisticsStore::new);
        let settings = Rc::new(settings);
        let discovery = Discovery::new(settings.clone(), fleet_member.clone());
        Ok(Rc::new_cyclic(|weak_self: &Weak<Service>| {
            let event_loop = EventLoop::new(core, settings.limits.tick, weak_self.clone());
            Service {
                weak_self: weak_self.clone(),
                file_settings: settings.clone(),
                listed_engines: RefCell::default(),
                statistics_store,
                discovery,
                context: Rc::new(RouterContext::new(
                    settings,
                    secret,
                    incarnation,
                    event_loop,
                    engines,
                    fleet_member,
                    spawner,
                )),
                admin_addr: Cell::new(None),
            }
        }))
    }

    /// Binds the listeners and starts all tasks on the executor. Returns the address of the statement API.
    ///
    /// # Errors
    ///
    /// Returns an error if a listen address cannot be bound.
    pub fn start(
        self: &Rc<Self>,
        extra_routes: statement_api::ExtraRoutes,
    ) -> io::Result<SocketAddr> {
        let settings = self.settings();
        let listener = server::bind(settings.router.listen)?;
        let addr = listener.get_ref().local_addr()?;
        if let Some(admin) = settings.router.admin {
            self.start_admin_api(admin)?;
        }
        self.start_saving_statistics();
        let spawner = self.context.spawner();
        let service = self.clone();
        spawner.spawn(async move { service.context.event_loop().run().await });
        self.start_fleet_member();
        let endpoint_listener: Rc<dyn EndpointListener> = self.clone();
        let discovery = self.discovery.clone();
        spawner.spawn(discovery.run(spawner.clone(), endpoint_listener));
        let serving = statement_api::serve(self.context.clone(), listener, extra_routes);
        spawner.spawn(serving);
        Ok(addr)
    }

    fn start_admin_api(&self, addr: SocketAddr) -> io::Result<()> {
        let listener = server::bind(addr).map_err(|error| {
            io::Error::new(error.kind(), format!("router.admin, {addr}: {error}"))
        })?;
        self.admin_addr.set(Some(listener.get_ref().local_addr()?));
        let serving = admin_api::serve(self.context.clone(), listener);
        self.context.spawner().spawn(serving);
        Ok(())
    }

    fn start_saving_statistics(self: &Rc<Self>) {
        if let Some(store) = &self.statistics_store {
            store.restore(self.context.event_loop());
            let service = self.clone();
            self.context.spawner().spawn(async move {
                loop {
                    Timer::after(service.settings().runaways.save_interval).await;
                    service.save_statistics();
                }
            });
        }
    }

    fn start_fleet_member(self: &Rc<Self>) {
        if let Some(member) = self.context.fleet_member() {
            let spawner = self.context.spawner();
            let service = self.clone();
            let renewal = member.clone().run(move || service.apply_configuration());
            spawner.spawn(renewal);
            spawner.spawn(member.clone().publish_notes());
        }
    }

    /// Saves the runaway detector's statistics if there is a store.
    pub(super) fn save_statistics(&self) {
        if let Some(store) = &self.statistics_store {
            let core = self.context.event_loop().core();
            let snapshot = core.runaway_detector().map(RunawayDetector::save);
            drop(core);
            if let Some(snapshot) = snapshot {
                store.save(&snapshot);
            }
        }
    }
}

fn core_limits(settings: &Settings) -> CoreLimits {
    let micros = |duration: Duration| duration.as_micros() as Micros;
    let limits = &settings.limits;
    CoreLimits {
        max_open_statements: limits.max_open_statements,
        max_statement_bytes: limits.max_incoming_bytes,
        max_retained_responses: limits.max_retained_responses,
        retention: micros(limits.retention),
        abandon_after: micros(limits.abandon_after),
        max_buffered_bytes: limits.max_buffered_bytes,
        response_margin: RESPONSE_MARGIN,
    }
}

fn engine_options(settings: &Settings, identity: RouterIdentity) -> EngineOptions {
    EngineOptions {
        identity,
        connect_timeout: settings.engines.connect_timeout,
        poll_timeout: settings.engines.poll_timeout,
        max_page_bytes: settings.limits.max_page_bytes,
    }
}
