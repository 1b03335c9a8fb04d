//! Owns one `Controller` and the table of statements. It is fed what clients and engines do, with a clock, and
//! yields commands. It knows nothing of sockets, nor of the protocol in front: rows are text that it passes on.
//!
//! A statement is *taken* by [`Core::submit`]; from then on it owes exactly one final answer. Its answers are
//! numbered; each can be asked for again, until the next one is asked for, and is then the same.

mod course;
mod page;
mod statement;
mod table;

use std::collections::VecDeque;
use std::rc::Rc;

use hoptiller::{Action, Arrival, Controller, EngineId, Event, KeyId, Micros, RequestId};

pub use course::{Course, CourseAttempt, ending_word};
pub use page::{Answer, Content, Failure, Final, Page};
pub use statement::Place;
use statement::{Stage, Statement};
use table::Table;

/// A statement in a router's table: its number in that router's life.
pub type StatementId = u64;

/// Between the end of an attempt and the moment when the client gives up, the decision and the answer need
/// time. The decision module keeps 60 ms of it for itself.
const ANSWER_MARGIN: Micros = 150_000;

/// Bounds that the core keeps.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Statements at once that are not answered.
    pub statements: usize,
    /// Answered ones kept for clients that ask again.
    pub answered: usize,
    /// How long those are kept.
    pub keep: Micros,
    /// A client that has not asked for so long has gone.
    pub abandon_after: Micros,
    /// Bytes of all pages held.
    pub held_bytes: u64,
}

/// What a client wants done.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Its class, by number.
    pub class: usize,
    /// Its tenant, by number.
    pub tenant: Option<usize>,
    /// Its ordering key.
    pub key: Option<String>,
    /// The group of tables that it reads or writes.
    pub tables: Option<String>,
    /// The client says that it tries again.
    pub repeat: bool,
    /// How long the client waits, where it says so; never longer than its class's patience.
    pub patience: Option<Micros>,
    /// What engines are sent.
    pub work: Rc<Work>,
}

/// What engines are sent: text, and the session fields that go with it.
#[derive(Clone, Debug, Default)]
pub struct Work {
    /// The statement.
    pub text: String,
    /// Fields to pass on.
    pub fields: Vec<(String, String)>,
}

/// Why a statement is not taken. Nothing is owed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turned {
    /// The table is full.
    Full,
    /// The router is ending.
    Ending,
}

/// What the shell is to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send an attempt.
    Send(Attempt),
    /// An attempt's next page may be fetched.
    Fetch {
        /// The statement.
        id: StatementId,
        /// Which attempt.
        hop: u32,
    },
    /// Withdraw an attempt and tell how it ended.
    Withdraw {
        /// The statement.
        id: StatementId,
        /// Which attempt.
        hop: u32,
    },
    /// The rest of an attempt's result is not wanted; nothing need be told.
    Release {
        /// The statement.
        id: StatementId,
        /// Which attempt.
        hop: u32,
    },
    /// Ask an engine for its load.
    Probe(EngineId),
    /// Ask discovery now.
    AskDiscovery,
    /// There is news for those who wait for this statement.
    Wake(StatementId),
    /// A statement's final answer is settled.
    Settled {
        /// The statement.
        id: StatementId,
        /// Its class.
        class: usize,
        /// How.
        how: Final,
        /// Time since it came.
        after: Micros,
        /// Attempts made.
        attempts: u32,
    },
}

/// An attempt to be sent.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The statement.
    pub id: StatementId,
    /// Which attempt, from 0.
    pub hop: u32,
    /// Where to.
    pub engine: EngineId,
    /// Its class.
    pub class: usize,
    /// Priority, 0 to 3, where one was set.
    pub priority: Option<u8>,
    /// Memory to grant, in MB; 0 leaves it to the engine.
    pub grant: f64,
    /// When to give it up.
    pub until: Micros,
    /// What to send.
    pub work: Rc<Work>,
}

/// How an attempt ended without its result.
#[derive(Clone, Debug)]
pub struct Ended {
    /// How.
    pub ending: hoptiller::Ending,
    /// What was seen, for people.
    pub why: String,
    /// The engine's load, where told.
    pub report: Option<hoptiller::LoadReport>,
}

/// What a poll finds.
#[derive(Clone, Debug)]
pub enum Poll {
    /// An answer.
    Answer(Rc<Answer>),
    /// Nothing new yet: wait for [`Command::Wake`].
    Wait,
    /// That answer was given and its successor asked for, or the statement is long over.
    Gone,
    /// No such answer was ever offered.
    Unknown,
}

/// The core of one router.
pub struct Core {
    controller: Controller,
    bounds: Bounds,
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
        cfg: hoptiller::Settings,
        seed: u64,
        bounds: Bounds,
    ) -> Result<Core, hoptiller::SettingsError> {
        Ok(Core {
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
    pub fn submit(&mut self, now: Micros, s: Submission) -> Result<StatementId, Turned> {
        if self.ending {
            return Err(Turned::Ending);
        }
        if self.table.open() >= self.bounds.statements {
            return Err(Turned::Full);
        }
        let longest = self.patience[s.class];
        let valid_until = now.saturating_add(s.patience.unwrap_or(longest).min(longest));
        let id = self.table.insert(|id| Statement::new(id, &s, now, valid_until));
        self.table.watch(now + self.bounds.abandon_after, id);
        self.events.push(Event::Arrival(Arrival {
            request: RequestId(id),
            class: s.class,
            tenant: s.tenant,
            key: s.key.as_deref().map(|k| KeyId(hash(k))),
            valid_until,
            guess: None,
            want_mb: 0.0,
            group: s.tables.as_deref().map(|t| hash(t) >> 32),
            retry: s.repeat,
            kind: None,
        }));
        Ok(id)
    }

    /// The answer of that number.
    pub fn poll(&mut self, now: Micros, id: StatementId, page: u64) -> Poll {
        let Some(s) = self.table.get_mut(id) else {
            return if id < self.table.next() { Poll::Gone } else { Poll::Unknown };
        };
        s.asked = now;
        match s.place_of(page) {
            Place::Same => Poll::Answer(s.last.clone()),
            Place::Old => Poll::Gone,
            Place::Never => Poll::Unknown,
            Place::Next if s.has_news() => self.deliver(now, id),
            Place::Next => Poll::Wait,
        }
    }

    /// The answer of that number, now, also where there is nothing new.
    pub fn poll_at_once(&mut self, now: Micros, id: StatementId, page: u64) -> Poll {
        match self.poll(now, id, page) {
            Poll::Wait => match self.table.get_mut(id) {
                Some(s) => Poll::Answer(s.no_news(now)),
                None => Poll::Gone,
            },
            other => other,
        }
    }

    /// Someone waits for news of a statement, or no longer.
    pub fn waiting(&mut self, now: Micros, id: StatementId, more: bool) {
        if let Some(s) = self.table.get_mut(id) {
            s.asked = now;
            s.waiters = if more { s.waiters + 1 } else { s.waiters.saturating_sub(1) };
        }
    }

    /// The client ends its statement.
    pub fn cancel(&mut self, now: Micros, id: StatementId) {
        self.leave(now, id, Final::Canceled);
    }

    /// Settles a statement that its client has left, and lets go of what is held for it.
    fn leave(&mut self, now: Micros, id: StatementId, how: Final) {
        let Some(s) = self.table.get_mut(id) else { return };
        if s.is_settled() {
            return;
        }
        match s.stage {
            Stage::Held { hop, .. } | Stage::Flowing { hop, .. } => {
                // Its work is done: only the rest of the result is let go.
                let told = matches!(s.stage, Stage::Flowing { .. });
                self.commands.push_back(Command::Release { id, hop });
                if !told {
                    self.tell_served(now, id, hop);
                }
            }
            _ => self.events.push(Event::Dropped(RequestId(id))),
        }
        self.settle(now, id, how);
    }

    /// What is known of a statement's course.
    pub fn course(&self, now: Micros, id: StatementId) -> Option<Course> {
        self.table.get(id).map(|s| s.course(now))
    }

    /// Takes nothing new from now on.
    pub fn end(&mut self) {
        self.ending = true;
    }

    /// Whether nothing is owed to anyone.
    pub fn is_idle(&self) -> bool {
        self.table.open() == 0 && self.table.undelivered() == 0
    }

    /// Statements that are not answered, answered ones that are kept, and bytes of pages held.
    pub fn sizes(&self) -> (usize, usize, u64) {
        (self.table.open(), self.table.kept(), self.held)
    }

    // ---- engines --------------------------------------------------------------------------------

    /// News of the engine list.
    pub fn list(&mut self, scope: hoptiller::Scope, entries: Vec<hoptiller::Entry>) {
        self.events.push(Event::List(scope, entries));
    }

    /// A probe has ended.
    pub fn probed(&mut self, engine: EngineId, report: Option<hoptiller::LoadReport>) {
        self.events.push(Event::Probed(engine, report));
    }

    /// Word on an attempt that runs.
    pub fn note(&mut self, id: StatementId, hop: u32, progress: hoptiller::Progress) {
        let Some(engine) = self.table.get(id).and_then(|s| s.engine_of(hop)) else { return };
        self.events.push(Event::Note { request: RequestId(id), hop, engine, progress });
    }

    /// A page of an attempt's result has come.
    pub fn page(&mut self, now: Micros, id: StatementId, hop: u32, page: Page) {
        let held = page.bytes();
        let Some(s) = self.table.get_mut(id) else {
            self.commands.push_back(Command::Release { id, hop });
            return;
        };
        let stage = std::mem::replace(&mut s.stage, Stage::Waiting);
        let (stage, taken) = match stage {
            // Danger: what an attempt gives after its end was told could stand beside a later attempt's rows.
            Stage::Waiting if s.is_out(hop) => {
                s.note_page(hop, now);
                (Stage::Held { hop, page }, true)
            }
            Stage::Flowing { hop: from, .. } if from == hop => {
                (Stage::Flowing { hop, next: Some(page) }, true)
            }
            // Another attempt's result is on its way, or the statement is over: this one did the work in vain.
            other => (other, false),
        };
        s.stage = stage;
        if taken {
            self.held += held;
            self.commands.push_back(Command::Wake(id));
        } else {
            self.commands.push_back(Command::Release { id, hop });
            if let Some(event) = self.table.get_mut(id).and_then(|s| s.outcome_good(hop, now)) {
                self.events.push(event);
            }
        }
    }

    /// An engine's own answer that the statement is wrong: it is final.
    pub fn wrong(&mut self, now: Micros, id: StatementId, hop: u32, failure: Failure) {
        let Some(s) = self.table.get_mut(id) else { return };
        let event = s.outcome_good(hop, now);
        self.events.extend(event);
        self.settle(now, id, Final::Engine(failure));
    }

    /// An attempt has ended without its result, or before the end of it.
    pub fn ended(&mut self, now: Micros, id: StatementId, hop: u32, ended: Ended) {
        let Some(s) = self.table.get_mut(id) else { return };
        let event = s.outcome(hop, now, &ended);
        match s.stage {
            Stage::Flowing { hop: from, .. } if from == hop => {
                // Danger: rows have gone out. A second attempt could repeat them, so there is none.
                self.settle(now, id, Final::Cut(ended.why));
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
    pub fn round(&mut self, now: Micros) {
        self.watch(now);
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
    pub fn command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Terms { request, priority, grant } => {
                if let Some(s) = self.table.get_mut(request.0) {
                    s.terms = (Some(priority), grant);
                }
            }
            Action::Send { request, engine, not_past } => {
                let Some(s) = self.table.get_mut(request.0) else { return };
                let until = s.valid_until.saturating_sub(ANSWER_MARGIN);
                let until = not_past.map_or(until, |at| at.min(until)).max(now);
                let attempt = s.attempt(now, engine, until);
                self.commands.push_back(Command::Send(attempt));
            }
            Action::Cancel { request, hop } => {
                self.commands.push_back(Command::Withdraw { id: request.0, hop });
            }
            Action::Refuse { request, hold_off } => {
                self.refuse(now, request.0, |why| Final::Refused { hold_off, why });
            }
            Action::Fail(request) => self.refuse(now, request.0, Final::MayHaveRun),
            Action::Probe(engine) => self.commands.push_back(Command::Probe(engine)),
            Action::Timer(after) => {
                let at = now.saturating_add(after);
                self.wake_at = Some(self.wake_at.map_or(at, |w| w.min(at)));
            }
            Action::Subscribe => self.commands.push_back(Command::AskDiscovery),
        }
    }

    /// The module gives a statement up. A result that has come meanwhile is better than that.
    fn refuse(&mut self, now: Micros, id: StatementId, how: impl FnOnce(String) -> Final) {
        let Some(s) = self.table.get(id) else { return };
        if matches!(s.stage, Stage::Waiting) {
            let how = how(s.why_given_up(now));
            self.settle(now, id, how);
        }
    }

    /// Settles the final answer, once.
    fn settle(&mut self, now: Micros, id: StatementId, how: Final) {
        let Some(s) = self.table.get_mut(id) else { return };
        if s.is_settled() {
            return;
        }
        let (class, after, attempts) = (s.class, now - s.came, s.attempts.len() as u32);
        let stage = std::mem::replace(&mut s.stage, Stage::Over(how.clone()));
        s.over_at = Some(now);
        s.work = None;
        self.held -= stage.bytes();
        if matches!(how, Final::Canceled | Final::Abandoned) {
            s.delivered = true;
        }
        self.table.settled();
        self.commands.push_back(Command::Settled { id, class, how, after, attempts });
        self.commands.push_back(Command::Wake(id));
        self.keep(now, id);
    }

    /// Gives out what is new, and moves the statement on.
    fn deliver(&mut self, now: Micros, id: StatementId) -> Poll {
        let Some(s) = self.table.get_mut(id) else { return Poll::Gone };
        let stage = std::mem::replace(&mut s.stage, Stage::Waiting);
        let held = stage.bytes();
        match stage {
            Stage::Held { hop, page } => {
                // The commitment: from here on no other attempt can give this result.
                self.held -= held;
                let last = page.last;
                s.stage = Stage::Flowing { hop, next: None };
                let answer = s.give(now, Content::Rows(page));
                self.tell_served(now, id, hop);
                self.after_page(now, id, hop, last);
                Poll::Answer(answer)
            }
            Stage::Flowing { hop, next: Some(page) } => {
                self.held -= held;
                let last = page.last;
                s.stage = Stage::Flowing { hop, next: None };
                let answer = s.give(now, Content::Rows(page));
                self.after_page(now, id, hop, last);
                Poll::Answer(answer)
            }
            Stage::Over(how) => {
                s.stage = Stage::Over(how.clone());
                s.delivered = true;
                let answer = s.give(now, Content::Final(how));
                self.table.given(id);
                self.keep(now, id);
                Poll::Answer(answer)
            }
            other => {
                s.stage = other;
                Poll::Wait
            }
        }
    }

    fn after_page(&mut self, now: Micros, id: StatementId, hop: u32, last: bool) {
        if last {
            if let Some(s) = self.table.get_mut(id) {
                s.delivered = true;
            }
            self.settle(now, id, Final::Served);
        } else {
            self.hungry.push_back((id, hop));
            self.feed();
        }
    }

    /// Tells the module that an attempt served.
    fn tell_served(&mut self, now: Micros, id: StatementId, hop: u32) {
        let event = self.table.get_mut(id).and_then(|s| s.outcome_good(hop, now));
        self.events.extend(event);
    }

    /// Lets pages be fetched while there is room for them.
    fn feed(&mut self) {
        while self.held < self.bounds.held_bytes {
            let Some((id, hop)) = self.hungry.pop_front() else { break };
            if self.table.get(id).is_some_and(|s| !s.is_settled()) {
                self.commands.push_back(Command::Fetch { id, hop });
            }
        }
    }

    /// Looks after those whose time has come: clients that went away, answers that were kept long enough.
    fn watch(&mut self, now: Micros) {
        while let Some(id) = self.table.due(now) {
            let Some(s) = self.table.get(id) else { continue };
            let gone_at = s.asked.saturating_add(self.bounds.abandon_after);
            if s.is_settled() {
                let kept = s.asked.max(s.over_at.unwrap_or(0)).saturating_add(self.bounds.keep);
                if kept > now {
                    self.table.watch(kept, id);
                } else {
                    self.table.retire(id);
                }
            } else if s.waiters > 0 || gone_at > now {
                let at = if s.waiters > 0 { now + self.bounds.abandon_after } else { gone_at };
                self.table.watch(at, id);
            } else {
                self.leave(now, id, Final::Abandoned);
            }
        }
    }

    /// Keeps an answered statement a while, and no more of them than is set.
    fn keep(&mut self, now: Micros, id: StatementId) {
        if self.table.get(id).is_some_and(|s| s.delivered && s.is_settled()) {
            self.table.given(id);
            self.table.watch(now + self.bounds.keep, id);
            self.table.trim(self.bounds.answered);
        }
    }
}

/// A number for a name, alike at all routers.
fn hash(name: &str) -> u64 {
    // FNV-1a, 64 bits.
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}
