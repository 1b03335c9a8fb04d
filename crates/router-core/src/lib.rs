//! Owns one `Controller` and the table of statements. It is fed what clients and engines do, with a clock, and
//! yields commands. It knows nothing of sockets, nor of the protocol in front: rows are text that it passes on.
//!
//! A statement is *taken* by [`Core::submit`]; from then on it owes exactly one final answer. Its answers are
//! numbered; each can be asked for again, until the next one is asked for, and is then the same.

pub mod event_loop;
mod history;
mod interface;
mod page;
mod runaways;
mod statement;
mod table;

use std::collections::VecDeque;

use hoptiller_policy::{Action, Arrival, Controller, EngineId, Event, KeyId, Micros, RequestId};
use hoptiller_runaway::{End, Watch};

pub use history::{AttemptHistory, StatementHistory, status_description};
pub use interface::*;
pub use page::{EngineError, FinalResponse, ResponseContent, ResultPage, StatementResponse};
pub use statement::Place;
use statement::{Stage, Statement, Watched};
use table::Table;

/// The core of one router.
pub struct Core {
    controller: Controller,
    /// Looks for runaways; `None`: nobody does.
    watch: Option<Watch>,
    fleet: runaways::Fleet,
    names: RouterIdentity,
    bounds: CoreLimits,
    patience: Vec<Micros>,
    table: Table,
    events: Vec<Event>,
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    wake_at: Option<Micros>,
    ending: bool,
    /// Statements whose next page waits for room.
    hungry: VecDeque<(StatementId, u32)>,
    held: u64,
}

impl Core {
    /// A core that knows no engine yet.
    pub fn new(
        cfg: hoptiller_policy::Settings,
        seed: u64,
        bounds: CoreLimits,
        watch: Option<Watch>,
        names: RouterIdentity,
    ) -> Result<Core, hoptiller_policy::SettingsError> {
        Ok(Core {
            fleet: runaways::Fleet::new(&cfg),
            watch,
            names,
            patience: cfg.classes.iter().map(|c| c.deadline).collect(),
            controller: Controller::new(cfg, seed)?,
            bounds,
            table: Table::default(),
            events: Vec::new(),
            actions: Vec::new(),
            commands: VecDeque::new(),
            wake_at: Some(0),
            ending: false,
            hungry: VecDeque::new(),
            held: 0,
        })
    }

    // ---- clients --------------------------------------------------------------------------------

    /// Takes a statement, or turns it away before anything is owed.
    pub fn submit(&mut self, now: Micros, s: Submission) -> Result<StatementId, SubmitError> {
        if self.ending {
            return Err(SubmitError::ShuttingDown);
        }
        if self.table.open() >= self.bounds.max_open_statements {
            return Err(SubmitError::TableFull);
        }
        let longest = self.patience[s.class];
        let valid_until = now.saturating_add(s.timeout.unwrap_or(longest).min(longest));
        let group = s.group;
        let watched = self.watch.as_mut().map(|watch| {
            let kind = watch.kind(s.class, s.fingerprint);
            let held_as = watch.arrived(now, kind, s.class, &s.label);
            Watched {
                kind,
                held_as,
                label: s.label.clone(),
                announced: s.announced,
                group,
            }
        });
        let held_as = watched.as_ref().map(|w| w.held_as.0);
        let id = self
            .table
            .insert(|id| Statement::new(id, &s, watched, now, valid_until));
        self.table.watch(now + self.bounds.abandon_after, id);
        self.events.push(Event::Arrival(Arrival {
            request: RequestId(id),
            class: s.class,
            tenant: s.tenant,
            key: s.ordering_key.as_deref().map(|k| KeyId(hash(k))),
            valid_until,
            estimated_work: s.estimated_work,
            estimated_memory_mb: s.estimated_memory_mb,
            group,
            is_retry: s.is_retry,
            kind: held_as,
        }));
        Ok(id)
    }

    /// The answer of that number.
    pub fn poll(&mut self, now: Micros, id: StatementId, page: u64) -> PollOutcome {
        let Some(s) = self.table.get_mut(id) else {
            return if id < self.table.next() {
                PollOutcome::Gone
            } else {
                PollOutcome::Unknown
            };
        };
        s.asked = now;
        match s.place_of(page) {
            Place::Same => PollOutcome::Response(s.last.clone()),
            Place::Old => PollOutcome::Gone,
            Place::Never => PollOutcome::Unknown,
            Place::Next if s.has_news() => self.deliver(now, id),
            Place::Next => PollOutcome::Pending,
        }
    }

    /// The answer of that number, now, also where there is nothing new.
    pub fn poll_now(&mut self, now: Micros, id: StatementId, page: u64) -> PollOutcome {
        match self.poll(now, id, page) {
            PollOutcome::Pending => match self.table.get_mut(id) {
                Some(s) => PollOutcome::Response(s.no_news(now)),
                None => PollOutcome::Gone,
            },
            other => other,
        }
    }

    /// A client starts to wait for news of a statement.
    pub fn add_waiter(&mut self, now: Micros, id: StatementId) {
        if let Some(s) = self.table.get_mut(id) {
            s.asked = now;
            s.waiters += 1;
        }
    }

    /// A client no longer waits for news of a statement.
    pub fn remove_waiter(&mut self, now: Micros, id: StatementId) {
        if let Some(s) = self.table.get_mut(id) {
            s.asked = now;
            s.waiters = s.waiters.saturating_sub(1);
        }
    }

    /// The client ends its statement.
    pub fn cancel(&mut self, now: Micros, id: StatementId) {
        self.leave(now, id, FinalResponse::Canceled);
    }

    /// Settles a statement that its client has left, and lets go of what is held for it.
    fn leave(&mut self, now: Micros, id: StatementId, how: FinalResponse) {
        let Some(s) = self.table.get_mut(id) else {
            return;
        };
        if s.is_settled() {
            return;
        }
        match s.stage {
            Stage::Held { hop, .. } | Stage::Flowing { hop, .. } => {
                // Its work is done: only the rest of the result is let go.
                let told = matches!(s.stage, Stage::Flowing { .. });
                self.commands
                    .push_back(Command::Release { id, attempt: hop });
                self.watch_ended(now, id, hop, End::Good, None);
                if !told {
                    self.tell_served(now, id, hop);
                }
            }
            _ => self.events.push(Event::ClientDisconnected(RequestId(id))),
        }
        self.settle(now, id, how);
    }

    /// What is known of a statement's course.
    pub fn history(&self, now: Micros, id: StatementId) -> Option<StatementHistory> {
        self.table.get(id).map(|s| s.course(now))
    }

    /// Gives up all that is not answered: the router ends before it could be.
    pub fn abandon_all(&mut self) {
        let mut open: Vec<StatementId> = self.table.unsettled().collect();
        open.sort_unstable();
        self.events
            .extend(open.into_iter().map(|id| Event::Abandoned(RequestId(id))));
    }

    /// Takes nothing new from now on.
    pub fn begin_shutdown(&mut self) {
        self.ending = true;
    }

    /// Whether nothing is owed to anyone.
    pub fn is_idle(&self) -> bool {
        self.table.open() == 0 && self.table.undelivered() == 0
    }

    /// Statements that are not answered, answered ones that are kept, and bytes of pages held.
    pub fn usage(&self) -> CoreUsage {
        CoreUsage {
            open_statements: self.table.open(),
            retained_statements: self.table.kept(),
            buffered_bytes: self.held,
        }
    }

    /// Other rules hold from now on, for what waits too. Classes keep their numbers; further ones come behind.
    pub fn update_settings(
        &mut self,
        cfg: hoptiller_policy::Settings,
        watch: hoptiller_runaway::Settings,
    ) {
        self.patience = cfg.classes.iter().map(|c| c.deadline).collect();
        self.fleet.rules(&cfg);
        self.watch.iter_mut().for_each(|w| w.rules(watch.clone()));
        self.events.push(Event::SettingsChanged(Box::new(cfg)));
    }

    // ---- engines --------------------------------------------------------------------------------

    /// News of the engine list.
    pub fn update_endpoints(
        &mut self,
        now: Micros,
        scope: hoptiller_policy::ListScope,
        entries: Vec<hoptiller_policy::EndpointEntry>,
    ) {
        self.watch_list(now, scope, &entries);
        self.events.push(Event::EndpointList(scope, entries));
    }

    /// Attempts that the decisions believe to be out at an engine.
    pub fn in_flight_at(&self, engine: EngineId) -> usize {
        self.controller.in_flight_at(engine)
    }

    /// A probe has ended.
    pub fn report_health_check(
        &mut self,
        engine: EngineId,
        report: Option<hoptiller_policy::LoadReport>,
    ) {
        self.events.push(Event::HealthChecked(engine, report));
    }

    /// Word on an attempt that runs.
    pub fn report_progress(
        &mut self,
        id: StatementId,
        hop: u32,
        progress: hoptiller_policy::Progress,
    ) {
        let Some(engine) = self.table.get(id).and_then(|s| s.engine_of(hop)) else {
            return;
        };
        self.events.push(Event::Progress {
            request: RequestId(id),
            attempt: hop,
            engine,
            progress,
        });
    }

    /// A page of an attempt's result has come.
    pub fn accept_page(&mut self, now: Micros, id: StatementId, hop: u32, page: ResultPage) {
        let held = page.bytes();
        self.watch_page(now, id, hop, &page);
        let Some(s) = self.table.get_mut(id) else {
            self.commands
                .push_back(Command::Release { id, attempt: hop });
            return;
        };
        let stage = std::mem::replace(&mut s.stage, Stage::Waiting);
        let (stage, taken) = match stage {
            // Danger: what an attempt gives after its end was told could stand beside a later attempt's rows.
            Stage::Waiting if s.is_out(hop) => {
                s.note_page(hop, now);
                (Stage::Held { hop, page }, true)
            }
            Stage::Flowing { hop: from, .. } if from == hop => (
                Stage::Flowing {
                    hop,
                    next: Some(page),
                },
                true,
            ),
            // Another attempt's result is on its way, or the statement is over: this one did the work in vain.
            other => (other, false),
        };
        s.stage = stage;
        if taken {
            self.held += held;
            self.commands.push_back(Command::NotifyWaiters(id));
        } else {
            self.commands
                .push_back(Command::Release { id, attempt: hop });
            if let Some(event) = self
                .table
                .get_mut(id)
                .and_then(|s| s.outcome_good(hop, now))
            {
                self.events.push(event);
            }
        }
    }

    /// An engine's own answer that the statement is wrong: it is final.
    pub fn fail_with_engine_error(
        &mut self,
        now: Micros,
        id: StatementId,
        hop: u32,
        failure: EngineError,
    ) {
        self.watch_ended(now, id, hop, End::Failed, None);
        let Some(s) = self.table.get_mut(id) else {
            return;
        };
        let event = s.outcome_good(hop, now);
        self.events.extend(event);
        self.settle(now, id, FinalResponse::EngineError(failure));
    }

    /// An attempt has ended without its result, or before the end of it.
    pub fn finish_attempt(
        &mut self,
        now: Micros,
        id: StatementId,
        hop: u32,
        ended: AttemptOutcome,
    ) {
        self.watch_outcome(now, id, hop, ended.status);
        let Some(s) = self.table.get_mut(id) else {
            return;
        };
        let event = s.outcome(hop, now, &ended, false);
        match s.stage {
            Stage::Flowing { hop: from, .. } if from == hop => {
                // Danger: rows have gone out. A second attempt could repeat them, so there is none.
                self.settle(now, id, FinalResponse::Truncated(ended.reason));
            }
            Stage::Held { hop: from, .. } if from == hop => {
                let stage = std::mem::replace(&mut s.stage, Stage::Waiting);
                self.held -= stage.bytes();
                self.events.extend(event);
            }
            _ => self.events.extend(event),
        }
        self.table.drop_if_over(id);
    }

    // ---- rounds ---------------------------------------------------------------------------------

    /// When the next round is due without any event.
    pub fn wake_at(&self) -> Option<Micros> {
        self.wake_at
    }

    /// Whether events wait for a round.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// One round of decisions over what came since the last.
    pub fn run_batch(&mut self, now: Micros) {
        self.tidy(now);
        self.look(now);
        if self.wake_at.is_some_and(|at| at <= now) {
            self.wake_at = None;
            self.events.push(Event::Wakeup);
        }
        if self.events.is_empty() {
            return;
        }
        let events = std::mem::take(&mut self.events);
        let mut actions = std::mem::take(&mut self.actions);
        self.controller.handle(now, &events, &mut actions);
        for action in actions.drain(..) {
            self.act(now, action);
        }
        self.actions = actions;
        self.feed();
    }

    /// The next command, until there is none.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::SetOptions {
                request,
                priority,
                memory_grant_mb: grant,
            } => {
                if let Some(s) = self.table.get_mut(request.0) {
                    s.terms = (Some(priority), grant);
                }
            }
            Action::Send {
                request,
                engine,
                send_by,
            } => {
                let Some(s) = self.table.get_mut(request.0) else {
                    return;
                };
                let until = s
                    .valid_until
                    .saturating_sub(self.bounds.response_margin)
                    .max(now);
                let attempt = s.attempt(now, engine, until, send_by);
                let hop = attempt.number;
                self.commands.push_back(Command::Send(attempt));
                self.watch_sent(now, request.0, hop, engine);
            }
            Action::Cancel {
                request,
                attempt: hop,
            } => {
                self.commands.push_back(Command::Cancel {
                    id: request.0,
                    attempt: hop,
                });
            }
            Action::Reject {
                request,
                retry_after: hold_off,
            } => {
                self.refuse(now, request.0, |why| FinalResponse::Rejected {
                    retry_after: hold_off,
                    reason: why,
                });
            }
            Action::Fail(request) => self.refuse(now, request.0, FinalResponse::MayHaveRun),
            Action::HealthCheck(engine) => self.commands.push_back(Command::HealthCheck(engine)),
            Action::Timer(after) => {
                let at = now.saturating_add(after);
                self.wake_at = Some(self.wake_at.map_or(at, |w| w.min(at)));
            }
            Action::Subscribe => self.commands.push_back(Command::RefreshDiscovery),
        }
    }

    /// The module gives a statement up. A result that has come meanwhile is better than that.
    fn refuse(&mut self, now: Micros, id: StatementId, how: impl FnOnce(String) -> FinalResponse) {
        let Some(s) = self.table.get(id) else { return };
        if matches!(s.stage, Stage::Waiting) {
            let how = how(s.why_given_up(now));
            self.settle(now, id, how);
        }
    }

    /// Settles the final answer, once.
    fn settle(&mut self, now: Micros, id: StatementId, how: FinalResponse) {
        let Some(s) = self.table.get_mut(id) else {
            return;
        };
        if s.is_settled() {
            return;
        }
        let (class, after, attempts) = (s.class, now - s.came, s.attempts.len() as u32);
        let stage = std::mem::replace(&mut s.stage, Stage::Over(how.clone()));
        s.over_at = Some(now);
        s.work = None;
        self.held -= stage.bytes();
        if matches!(how, FinalResponse::Canceled | FinalResponse::Abandoned) {
            s.delivered = true;
        }
        self.table.settled();
        self.commands.push_back(Command::Settled {
            id,
            class,
            response: how,
            elapsed: after,
            attempts,
        });
        self.commands.push_back(Command::NotifyWaiters(id));
        self.keep(now, id);
    }

    /// Gives out what is new, and moves the statement on.
    fn deliver(&mut self, now: Micros, id: StatementId) -> PollOutcome {
        let Some(s) = self.table.get_mut(id) else {
            return PollOutcome::Gone;
        };
        let stage = std::mem::replace(&mut s.stage, Stage::Waiting);
        let held = stage.bytes();
        match stage {
            Stage::Held { hop, page } => {
                // The commitment: from here on no other attempt can give this result.
                self.held -= held;
                let last = page.is_last;
                s.stage = Stage::Flowing { hop, next: None };
                let answer = s.give(now, ResponseContent::Rows(page));
                self.tell_served(now, id, hop);
                self.after_page(now, id, hop, last);
                PollOutcome::Response(answer)
            }
            Stage::Flowing {
                hop,
                next: Some(page),
            } => {
                self.held -= held;
                let last = page.is_last;
                s.stage = Stage::Flowing { hop, next: None };
                let answer = s.give(now, ResponseContent::Rows(page));
                self.after_page(now, id, hop, last);
                PollOutcome::Response(answer)
            }
            Stage::Over(how) => {
                s.stage = Stage::Over(how.clone());
                s.delivered = true;
                let answer = s.give(now, ResponseContent::Final(how));
                self.table.given(id);
                self.keep(now, id);
                PollOutcome::Response(answer)
            }
            other => {
                s.stage = other;
                PollOutcome::Pending
            }
        }
    }

    fn after_page(&mut self, now: Micros, id: StatementId, hop: u32, last: bool) {
        if last {
            if let Some(s) = self.table.get_mut(id) {
                s.delivered = true;
            }
            self.settle(now, id, FinalResponse::Completed);
        } else {
            self.hungry.push_back((id, hop));
            self.feed();
        }
    }

    /// Tells the module that an attempt served.
    fn tell_served(&mut self, now: Micros, id: StatementId, hop: u32) {
        let event = self
            .table
            .get_mut(id)
            .and_then(|s| s.outcome_good(hop, now));
        self.events.extend(event);
    }

    /// Lets pages be fetched while there is room for them.
    fn feed(&mut self) {
        while self.held < self.bounds.max_buffered_bytes {
            let Some((id, hop)) = self.hungry.pop_front() else {
                break;
            };
            if self.table.get(id).is_some_and(|s| !s.is_settled()) {
                self.commands.push_back(Command::Fetch { id, attempt: hop });
            }
        }
    }

    /// Looks after those whose time has come: clients that went away, answers that were kept long enough.
    fn tidy(&mut self, now: Micros) {
        while let Some(id) = self.table.due(now) {
            let Some(s) = self.table.get(id) else {
                continue;
            };
            let gone_at = s.asked.saturating_add(self.bounds.abandon_after);
            if s.is_settled() {
                let kept = s
                    .asked
                    .max(s.over_at.unwrap_or(0))
                    .saturating_add(self.bounds.retention);
                if kept > now {
                    self.table.watch(kept, id);
                } else {
                    self.table.retire(id);
                }
            } else if s.waiters > 0 || gone_at > now {
                let at = if s.waiters > 0 {
                    now + self.bounds.abandon_after
                } else {
                    gone_at
                };
                self.table.watch(at, id);
            } else {
                self.leave(now, id, FinalResponse::Abandoned);
            }
        }
    }

    /// Keeps an answered statement a while, and no more of them than is set.
    fn keep(&mut self, now: Micros, id: StatementId) {
        if self
            .table
            .get(id)
            .is_some_and(|s| s.delivered && s.is_settled())
        {
            self.table.given(id);
            self.table.watch(now + self.bounds.retention, id);
            self.table.trim(self.bounds.max_retained_responses);
        }
    }
}

/// The number of a named group of tables, alike at all routers.
pub fn group_of(name: &str) -> u64 {
    hash(name) >> 32
}

/// A number for a name, alike at all routers.
fn hash(name: &str) -> u64 {
    // FNV-1a, 64 bits.
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}
