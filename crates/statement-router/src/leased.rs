//! Owns a router's part in leases: what it offers and is granted with each question for its permit, under which lease
//! something may be done now, and what is noted for the others.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use async_io::Timer;
use event_listener::Event as Bell;
use hoptiller_coordination::{
    Holder, LeaseGuard, LeaseOffer, LeaseTiming, Micros, Shard, TaskLeaseClient,
};
use hoptiller_coordination::{LeaseTableUpdate, NoteError, TaskLeaseGrant};
use hoptiller_coordination_client::{CallError, Clock, CoordinationClient, wire};
use hoptiller_fleet_tasks::{Duty, duty};

/// How much of each term is left unused, for the way of an act to what it acts on.
const MARGIN: Micros = 100_000;
/// Time for each keeper that is given a note.
const EACH: Duration = Duration::from_millis(700);
/// Pause after a note that no keeper took.
const PAUSE: Duration = Duration::from_millis(200);

/// A router's leases.
pub struct Leased {
    tenant: RefCell<TaskLeaseClient>,
    clock: Clock,
    /// By part: the number and the text of the note that is to be taken, or was taken last.
    notes: RefCell<BTreeMap<Shard, (u64, String, bool)>>,
    /// Rung when what is held, or known of the others, has changed.
    pub changed: Bell,
    /// Rung when a question is wanted soon, as something can be given back.
    pub wanted: Bell,
    noting: Bell,
}

impl Leased {
    /// Holds nothing yet.
    pub fn new(bounds: &LeaseTiming, clock: Clock) -> Leased {
        Leased {
            tenant: RefCell::new(TaskLeaseClient::new(bounds, MARGIN)),
            clock,
            notes: RefCell::default(),
            changed: Bell::new(),
            wanted: Bell::new(),
            noting: Bell::new(),
        }
    }

    /// What goes with the question of that number.
    pub fn offer(&self, id: u64) -> LeaseOffer {
        self.tenant.borrow_mut().start_renewal(id, self.clock.now())
    }

    /// What came with its answer.
    pub fn granted(
        &self,
        id: u64,
        serial: u64,
        leases: Option<&[TaskLeaseGrant]>,
        board: Option<&LeaseTableUpdate>,
    ) {
        let now = self.clock.now();
        if self
            .tenant
            .borrow_mut()
            .accept_grant(id, now, serial, leases, board)
        {
            self.changed.notify(usize::MAX);
        }
    }

    /// A question has no answer.
    pub fn unanswered(&self, id: u64) {
        self.tenant.borrow_mut().abandon_renewal(id);
    }

    /// Up to where the board is known.
    pub fn board(&self) -> u64 {
        self.tenant.borrow().table_revision()
    }

    /// Whose a part is now.
    pub fn duty(&self, part: Shard, doubt: bool) -> Duty {
        duty(&self.tenant.borrow(), self.clock.now(), part, doubt)
    }

    /// Parts that a task has.
    pub fn parts(&self, task: hoptiller_coordination::Task) -> u32 {
        self.tenant.borrow().shard_count(task)
    }

    /// What was noted of a part last, by whoever held it.
    pub fn noted(&self, part: Shard) -> Option<String> {
        self.tenant
            .borrow()
            .shard_status(part)
            .and_then(|(_, note)| note.map(str::to_owned))
    }

    /// An act under a lease may begin: it is cut short at the lease's end.
    pub fn begin(&self, part: Shard) -> Option<LeaseGuard> {
        self.tenant
            .borrow_mut()
            .begin_operation(self.clock.now(), part, 0)
    }

    /// Whether it may be sent now, and how long it may take then: what has no answer by the lease's end is given up.
    pub fn still(&self, right: &LeaseGuard) -> Option<Duration> {
        let now = self.clock.now();
        let left = Duration::from_micros(right.expires_at.saturating_sub(now));
        self.tenant
            .borrow()
            .is_still_valid(now, right)
            .then_some(left)
    }

    /// It is over.
    pub fn done(&self, right: &LeaseGuard) {
        if self.tenant.borrow_mut().end_operation(right) {
            self.wanted.notify(usize::MAX);
        }
    }

    /// What is to be done for a part can't be done here: another is to try.
    pub fn give_up(&self, part: Shard) {
        self.tenant.borrow_mut().request_release(part);
        self.wanted.notify(usize::MAX);
    }

    /// A note for the others, in place of the one before.
    pub fn note(&self, right: &LeaseGuard, text: String) {
        let mut notes = self.notes.borrow_mut();
        if notes
            .get(&right.shard)
            .is_none_or(|(n, t, _)| (*n, t) != (right.fencing_token, &text))
        {
            notes.insert(right.shard, (right.fencing_token, text, false));
            self.noting.notify(usize::MAX);
        }
    }

    /// Has notes taken, for ever: one at a time, so that none overtakes the one after it.
    pub async fn keep_noting(&self, me: &Holder, keepers: &CoordinationClient) {
        loop {
            let noting = self.noting.listen();
            let open = |(part, (n, t, taken)): (&Shard, &(u64, String, bool))| {
                (!taken).then(|| (*part, *n, t.clone()))
            };
            let next = self.notes.borrow().iter().find_map(open);
            let Some((part, number, text)) = next else {
                noting.await;
                continue;
            };
            let note = wire::CheckpointRequest {
                holder: me.clone(),
                part,
                fencing_token: number,
                text: text.clone(),
            };
            let answer: Result<wire::CheckpointResult, CallError> =
                keepers.call(wire::CHECKPOINT, Some(&note), EACH).await;
            let mut notes = self.notes.borrow_mut();
            match answer {
                Ok(Ok(())) => {
                    if let Some(taken) = notes
                        .get_mut(&part)
                        .filter(|(n, t, _)| (*n, t) == (number, &text))
                    {
                        taken.2 = true;
                    }
                }
                Ok(Err(why)) => {
                    if why == NoteError::TooLong {
                        tracing::error!(%part, bytes = text.len(), "a note is too long; each router is on its own");
                    }
                    notes.retain(|p, (n, ..)| *p != part || *n != number);
                }
                Err(why) => {
                    drop(notes);
                    tracing::debug!(%part, %why, "a note is not taken yet");
                    Timer::after(PAUSE).await;
                }
            }
        }
    }

    /// Takes no leases any more, and waits until what it had is given back, for so long at most. Returns whether it is.
    pub async fn hand_over(&self, within: Duration) -> bool {
        self.tenant.borrow_mut().drain();
        let until = self.clock.now() + within.as_micros() as Micros;
        while self.tenant.borrow().outstanding_leases() > 0 && self.clock.now() < until {
            self.wanted.notify(usize::MAX);
            Timer::after(Duration::from_millis(20)).await;
        }
        self.tenant.borrow().outstanding_leases() == 0
    }
}
