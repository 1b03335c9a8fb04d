//! What goes into and comes out of the core. Plain data.

use std::rc::Rc;

use hoptiller_policy::{EngineId, Micros};
use hoptiller_runaway::{Announced, Finding};

use super::page::{Answer, Final};

/// A statement in a router's table: its number in that router's life.
pub type StatementId = u64;

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
    /// Between the end of an attempt and the moment when the client gives up, the decision and the answer need so
    /// much time. The decision module keeps 60 ms of it for itself.
    pub answer_margin: Micros,
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
    /// The group of tables that it reads or writes, by number; see [`crate::group_of`].
    pub group: Option<u64>,
    /// Estimated work of all its threads.
    pub guess: Option<Micros>,
    /// Estimated memory, in MB; 0: none given.
    pub want_mb: f64,
    /// Its kind: the fingerprint of its text, and the text without values, for people.
    pub fingerprint: u64,
    /// See there.
    pub label: Rc<str>,
    /// What it says of its size.
    pub announced: Announced,
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
    /// Have an attempt ended at its engine; how it ended still comes from there.
    Kill {
        /// The statement.
        id: StatementId,
        /// Which attempt.
        hop: u32,
    },
    /// Have an attempt stand still at its engine, or go on.
    Pause {
        /// The statement.
        id: StatementId,
        /// Which attempt.
        hop: u32,
        /// Stand still.
        paused: bool,
    },
    /// A verdict on a statement, a kind or an engine.
    Found(Box<Finding>),
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
    /// Its first byte must be written before that, or not at all.
    pub send_by: Option<Micros>,
    /// What to send.
    pub work: Rc<Work>,
}

/// How an attempt ended without its result.
#[derive(Clone, Debug)]
pub struct Ended {
    /// How.
    pub ending: hoptiller_policy::AttemptStatus,
    /// What was seen, for people.
    pub why: String,
    /// The engine's load, where told.
    pub report: Option<hoptiller_policy::LoadReport>,
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

/// What a router is called, and the life that it is in.
#[derive(Clone, Debug)]
pub struct Names {
    /// The router.
    pub router: String,
    /// Its life.
    pub life: String,
}

impl Names {
    /// What engines and other routers know a statement by.
    pub fn of(&self, id: StatementId) -> String {
        hoptiller_statement::extra::statement_name(&self.router, &self.life, id)
    }
}
