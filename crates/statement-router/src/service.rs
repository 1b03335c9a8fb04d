//! Owns a running router: ties the core to fronts, engines and discovery, and runs its rounds.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use futures_lite::future;
use hoptiller_coordination::Decision as Permitted;
use hoptiller_http::{CoarseTimer, Spawner};
use hoptiller_policy::{EngineId, ListScope, LoadReport, Micros, Progress};
use hoptiller_runaway::{BlockedState, Finding, Proof, RunawayDetector, Verdict};
use hoptiller_statement::TokenKey;
use tracing::Instrument;

use crate::agreed::{self, Agreed};
use crate::desk::Desk;
use crate::discovery::{Discovery, Listener};
use crate::engines::{Control, Engines, Manner, Order, Report, Told};
use crate::fronts;
use crate::fronts::http::Extra;
use crate::learnt::Learnt;
use crate::settings::Settings;
use hoptiller_router_core::event_loop::{CommandExecutor, EventLoop};
use hoptiller_router_core::{
    AttemptOutcome, Command, Core, CoreLimits, EngineError, ResultPage, RouterIdentity,
    StatementId, status_description,
};

/// For the last attempt's end, the decision and the answer before a client gives up.
pub const ANSWER_MARGIN: Micros = 150_000;

/// How a router ended when told to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopped {
    /// All that it held was answered.
    Clean,
    /// Its time to finish ran out with so many statements open.
    Cut(usize),
}

/// A running router.
pub struct Service {
    me: Weak<Service>,
    /// Its settings as its own file has them.
    own: Rc<Settings>,
    /// Engines as last listed.
    listed: RefCell<HashMap<EngineId, hoptiller_policy::EndpointEntry>>,
    /// What fronts ask of it.
    pub desk: Rc<Desk>,
    learnt: Option<Learnt>,
    discovery: Rc<Discovery>,
    admin: Cell<Option<SocketAddr>>,
}

impl Service {
    /// A router from checked settings, with the secret of its tokens and the name of this life.
    pub fn new(
        settings: Settings,
        secret: &[u8],
        life: String,
        ex: Spawner,
    ) -> Result<Rc<Service>, hoptiller_policy::SettingsError> {
        Service::agreeing(settings, secret, life, ex, None)
    }

    /// The same, with a part in the fleet's agreement.
    pub fn agreeing(
        settings: Settings,
        secret: &[u8],
        life: String,
        ex: Spawner,
        agreed: Option<Rc<Agreed>>,
    ) -> Result<Rc<Service>, hoptiller_policy::SettingsError> {
        let l = &settings.limits;
        let micros = |d: Duration| d.as_micros() as Micros;
        let bounds = CoreLimits {
            max_open_statements: l.statements,
            max_retained_responses: l.answered,
            retention: micros(l.keep),
            abandon_after: micros(l.abandon_after),
            max_buffered_bytes: l.held_bytes,
            response_margin: ANSWER_MARGIN,
        };
        let names = RouterIdentity {
            router: settings.router.name.clone(),
            incarnation: life.clone(),
        };
        let watch = RunawayDetector::new(settings.watch());
        let core = Core::new(
            settings.decisions(),
            settings.router.seed,
            bounds,
            Some(watch),
            names.clone(),
        )?;
        let learnt = settings.router.state.as_deref().map(Learnt::new);
        let manner = Manner {
            router: settings.router.name.clone(),
            names,
            connect_within: settings.engines.connect_within,
            poll_within: settings.engines.poll_within,
            page_bytes: l.page_bytes,
        };
        let engines = Engines::new(manner, class_names(&settings));
        let settings = Rc::new(settings);
        Ok(Rc::new_cyclic(|me| Service {
            me: me.clone(),
            own: settings.clone(),
            listed: RefCell::default(),
            learnt,
            discovery: Discovery::new(settings.clone(), agreed.clone()),
            desk: Rc::new(Desk {
                key: TokenKey::new(secret, &settings.router.name),
                life,
                rounds: EventLoop::new(core, settings.limits.tick, me.clone()),
                engines: Rc::new(engines),
                current: RefCell::new(settings),
                agreed,
                timer: CoarseTimer::new(&ex),
                ex,
                ending: Cell::new(false),
                listed: Cell::new(0),
            }),
            admin: Cell::new(None),
        }))
    }

    /// Listens, and starts everything on the executor. Returns the address.
    pub fn start(self: &Rc<Self>, extra: Extra) -> io::Result<SocketAddr> {
        let listener = hoptiller_http::server::bind(self.desk.settings().router.listen)?;
        let addr = listener.get_ref().local_addr()?;
        if let Some(at) = self.desk.settings().router.admin {
            let admin = hoptiller_http::server::bind(at)
                .map_err(|e| io::Error::new(e.kind(), format!("router.admin, {at}: {e}")))?;
            self.admin.set(Some(admin.get_ref().local_addr()?));
            let serving = fronts::admin::serve(self.desk.clone(), admin);
            self.desk.ex.spawn(async move {
                let _ = serving.await;
            });
        }
        if let Some(learnt) = &self.learnt {
            learnt.take_up(&self.desk.rounds);
            self.desk.ex.spawn(self.clone().keep_saving());
        }
        let me = self.clone();
        self.desk
            .ex
            .spawn(async move { me.desk.rounds.run().await });
        if let Some(agreed) = &self.desk.agreed {
            let me = self.clone();
            self.desk.ex.spawn(agreed.clone().run(move || me.heed()));
            self.desk.ex.spawn(agreed.clone().keep_noting());
        }
        let listener_of_lists: Rc<dyn Listener> = self.clone();
        self.desk.ex.spawn(
            self.discovery
                .clone()
                .run(self.desk.ex.clone(), listener_of_lists),
        );
        let front = fronts::http::serve(self.desk.clone(), listener, extra);
        self.desk.ex.spawn(async move {
            let _ = front.await;
        });
        Ok(addr)
    }

    /// Takes nothing new, finishes what it holds, and returns.
    pub async fn end(&self) -> Stopped {
        self.desk.ending.set(true);
        // What it does for all is another's before it ends, while what it holds is finished.
        let hand_over = async {
            match &self.desk.agreed {
                Some(agreed) => agreed.hand_over().await,
                None => true,
            }
        };
        let (stopped, handed_over) = future::zip(self.finish(), hand_over).await;
        self.save();
        // Danger: what still runs under a lease is not over because the permit is given back.
        if let (Stopped::Clean, true, Some(agreed)) = (stopped, handed_over, &self.desk.agreed) {
            agreed.give_back().await;
        }
        stopped
    }

    /// Takes up the rules of the versions that are heeded now, all at once: nothing is done between.
    fn heed(&self) {
        let Some((agreed, document)) = self
            .desk
            .agreed
            .as_ref()
            .and_then(|a| Some((a, a.rules()?)))
        else {
            return;
        };
        match self.own.under(&self.desk.settings(), &document) {
            Err(problems) => {
                agreed.usable(false);
                problems.iter().for_each(
                    |p| tracing::error!(problem = %p, "the fleet's rules can't be used here"),
                );
            }
            Ok(settings) => {
                agreed.usable(true);
                self.desk.engines.name_classes(class_names(&settings));
                let (decisions, watch) = (settings.decisions(), settings.watch());
                let settings = Rc::new(settings);
                *self.desk.current.borrow_mut() = settings.clone();
                self.desk
                    .with_core(|core, _| core.update_settings(decisions, watch));
                self.discovery.rules(&settings, self);
                let (_, in_force, heeds) = agreed.standing();
                tracing::info!(in_force, heeds, "other rules of the fleet are heeded");
            }
        }
    }

    /// When an engine's process began, in ms since 1970.
    fn began(&self, entry: &hoptiller_policy::EndpointEntry) -> u64 {
        let age = Report::now(self).saturating_sub(entry.ready_at);
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as u64);
        now.saturating_sub(age) / 1000
    }

    /// Where administrators reach it.
    pub fn admin_addr(&self) -> Option<SocketAddr> {
        self.admin.get()
    }

    /// Writes what was learnt of kinds, where there is a place for it.
    fn save(&self) {
        if let Some(learnt) = &self.learnt {
            let bytes = self
                .desk
                .rounds
                .core()
                .runaway_detector()
                .map(RunawayDetector::save);
            bytes.into_iter().for_each(|bytes| learnt.write(&bytes));
        }
    }

    async fn keep_saving(self: Rc<Self>) {
        loop {
            Timer::after(self.desk.settings().runaways.save_every).await;
            self.save();
        }
    }

    async fn finish(&self) -> Stopped {
        self.desk.rounds.core().begin_shutdown();
        let until = Instant::now() + self.desk.settings().limits.drain_within;
        loop {
            if self.desk.rounds.core().is_idle() {
                // What has just been answered is still being written.
                Timer::after(Duration::from_millis(50)).await;
                return Stopped::Clean;
            }
            if Instant::now() >= until {
                return Stopped::Cut(self.desk.rounds.core().usage().open_statements);
            }
            Timer::after(Duration::from_millis(20)).await;
        }
    }

    /// Gives an engine an order, and logs what came of it.
    fn order(&self, id: StatementId, hop: u32, order: Order) {
        let (engines, statement) = (self.desk.engines.clone(), self.name_of(id));
        self.desk.ex.spawn(async move {
            let what = format!("{order:?}");
            match engines.order(id, hop, order).await {
                Ok(()) => tracing::warn!(%statement, hop, order = %what, "the engine was told"),
                Err(why) => {
                    tracing::warn!(%statement, hop, order = %what, why, "the engine was not told")
                }
            }
        });
    }

    /// A verdict, for the log and the metrics.
    fn found(&self, f: &Finding) {
        let settings = self.desk.settings();
        let class = f.class.map_or("", |c| settings.classes[c].name.as_str());
        let named = f.class.is_none_or(|c| settings.runaways.acts[c].name);
        if !named {
            return;
        }
        let (cause, subject) = (f.cause.description(), fronts::admin::subject(&self.desk, f));
        let engine = f
            .engine
            .map(|e| self.desk.engines.name(e))
            .unwrap_or_default();
        let verdict = format!("{:?}", f.verdict).to_lowercase();
        let seen = f.evidence.to_string();
        if f.verdict != Verdict::Suspect {
            metrics::counter!("hoptiller_runaway_verdicts_total",
                "class" => class.to_owned(), "cause" => cause, "verdict" => verdict.clone())
            .increment(1);
        }
        let (blocked, note) = (f.blocked, f.note);
        match f.verdict {
            Verdict::Runaway | Verdict::Notice => {
                tracing::warn!(%subject, verdict, cause, class, engine, seen, blocked, note, "runaways");
            }
            _ => {
                tracing::info!(%subject, verdict, cause, class, engine, seen, blocked, note, "runaways")
            }
        }
    }

    /// The end of a statement's id, by which it is found in logs.
    fn name_of(&self, id: StatementId) -> String {
        format!("{id:05}_{}", self.desk.life)
    }
}

/// Names of classes, by number.
fn class_names(settings: &Settings) -> Vec<String> {
    settings.classes.iter().map(|c| c.name.clone()).collect()
}

impl CommandExecutor for Service {
    fn execute(&self, command: Command) {
        let Some(me) = self.me.upgrade() else { return };
        match command {
            Command::Send(attempt) => {
                metrics::counter!("hoptiller_attempts_total").increment(1);
                let engine = self.desk.engines.name(attempt.engine);
                let settings = self.desk.settings();
                let class = settings.classes[attempt.class].name.as_str();
                let statement = self.name_of(attempt.id);
                let span = tracing::debug_span!("attempt", %statement, class, hop = attempt.number, %engine);
                span.in_scope(|| tracing::debug!("sent"));
                self.desk.ex.spawn(
                    self.desk
                        .engines
                        .clone()
                        .attempt(attempt, me)
                        .instrument(span),
                );
            }
            Command::Fetch { id, attempt: hop } => {
                self.desk.engines.control(id, hop, Control::Fetch)
            }
            Command::Cancel { id, attempt: hop } => {
                self.desk.engines.control(id, hop, Control::Withdraw)
            }
            Command::Release { id, attempt: hop } => {
                self.desk.engines.control(id, hop, Control::Release)
            }
            Command::Kill { id, attempt: hop } => {
                let why = "it runs away, and a rule of this installation ends it".to_owned();
                self.order(id, hop, Order::End(why));
            }
            Command::Pause {
                id,
                attempt: hop,
                paused,
            } => self.order(id, hop, Order::Pause(paused)),
            Command::ReportFinding(finding) => self.found(&finding),
            Command::HealthCheck(engine) => self
                .desk
                .ex
                .spawn(self.desk.engines.clone().probe(engine, me)),
            Command::RefreshDiscovery => {
                self.discovery.now.notify(1);
            }
            Command::NotifyWaiters(id) => {
                self.desk.rounds.notify_waiters(id);
            }
            Command::Settled {
                id,
                class,
                response: how,
                elapsed: after,
                attempts,
            } => {
                let class = &self.desk.settings().classes[class].name;
                let outcome = how.label();
                metrics::counter!("hoptiller_statements_total", "class" => class.clone(), "outcome" => outcome)
                    .increment(1);
                metrics::histogram!("hoptiller_answer_seconds", "class" => class.clone())
                    .record(after as f64 / 1e6);
                let statement = self.name_of(id);
                let why = how.reason();
                tracing::info!(%statement, %class, outcome, ms = after / 1000, attempts, why, "answered");
            }
        }
    }
}

impl Report for Service {
    fn now(&self) -> Micros {
        self.desk.rounds.now()
    }

    fn page(&self, id: StatementId, hop: u32, page: ResultPage) {
        self.desk
            .with_core(|core, now| core.accept_page(now, id, hop, page));
    }

    fn wrong(&self, id: StatementId, hop: u32, failure: EngineError) {
        self.desk
            .with_core(|core, now| core.fail_with_engine_error(now, id, hop, failure));
    }

    fn ended(&self, id: StatementId, hop: u32, ended: AttemptOutcome) {
        let how = status_description(ended.status);
        metrics::counter!("hoptiller_attempts_failed_total", "ending" => how).increment(1);
        // Inside the attempt's span, which names the statement and the engine.
        tracing::debug!(how, why = %ended.reason, "ended");
        self.desk
            .with_core(|core, now| core.finish_attempt(now, id, hop, ended));
    }

    fn killed(&self, id: StatementId, hop: u32, proof: Proof, why: String) {
        tracing::warn!(?proof, why, "ended at its engine");
        self.desk
            .with_core(|core, now| core.finish_killed_attempt(now, id, hop, proof, why));
    }

    fn told(&self, id: StatementId, hop: u32, mut told: Told) {
        if let Some(BlockedState::Behind(Some(holder))) = &mut told.news.blocked_state {
            holder.class = told
                .holder_class
                .as_deref()
                .and_then(|name| self.desk.settings().class(name));
        }
        self.desk
            .with_core(|core, now| core.update_attempt_status(now, id, hop, told.news));
    }

    fn note(&self, id: StatementId, hop: u32, progress: Progress) {
        self.desk
            .with_core(|core, _| core.report_progress(id, hop, progress));
    }

    fn probed(&self, engine: EngineId, report: Option<LoadReport>) {
        self.desk
            .with_core(|core, _| core.report_health_check(engine, report));
    }

    fn may_send(&self, engine: EngineId, class: usize) -> Result<Option<String>, String> {
        let Some(agreed) = &self.desk.agreed else {
            return Ok(None);
        };
        let settings = self.desk.settings();
        let class = &settings.classes[class];
        let stamp = match agreed.verdict(&class.name) {
            Permitted::Allow {
                in_force,
                enforced: heeds,
            } => agreed::stamp(in_force, heeds, false),
            Permitted::AllowInDoubt {
                in_force,
                enforced: heeds,
            } => agreed::stamp(in_force, heeds, true),
            Permitted::Reject => {
                return Err("the permit to act under the fleet's rules has ended".into());
            }
        };
        let listed = self.listed.borrow();
        let Some(entry) = listed.get(&engine) else {
            return Err("the engine is not listed any more".into());
        };
        // What was chosen under the rules before may not fit those of now.
        let within = |only: &Option<Vec<usize>>, is: Option<usize>| {
            only.as_ref()
                .is_none_or(|all| is.is_some_and(|n| all.contains(&n)))
        };
        if !within(&class.kinds, entry.kind) || !within(&class.zones, entry.zone) {
            return Err(
                "the fleet's rules have changed: the class may not run there any more".into(),
            );
        }
        if !agreed.lists(&self.desk.engines.name(engine), self.began(entry)) {
            return Err("the fleet's list lets nothing more to that engine".into());
        }
        Ok(Some(stamp))
    }
}

impl Listener for Service {
    fn now(&self) -> Micros {
        Report::now(self)
    }

    fn list(&self, scope: ListScope, mut entries: Vec<hoptiller_policy::EndpointEntry>) {
        if scope != ListScope::Failed {
            if let Some(agreed) = &self.desk.agreed {
                for entry in &mut entries {
                    if !agreed.lists(&self.desk.engines.name(entry.engine), self.began(entry)) {
                        entry.readiness = hoptiller_policy::Readiness::Draining;
                    }
                }
            }
            *self.listed.borrow_mut() = entries.iter().map(|e| (e.engine, e.clone())).collect();
            self.desk.listed.set(entries.len());
            tracing::info!(engines = entries.len(), "the engine list has changed");
        }
        self.desk
            .with_core(|core, now| core.update_endpoints(now, scope, entries));
    }

    fn place(&self, engine: EngineId, name: &str, addr: SocketAddr) {
        self.desk.engines.place(engine, name, addr);
    }
}
