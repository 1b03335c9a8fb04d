//! Owns a router's part in the agreement: it asks keepers for its permit, takes up versions as they come, and says at
//! each act whether it may be done. Without `agreement` in the settings there is none of it.

use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use event_listener::Event as Bell;
use futures_lite::future;
use hoptiller_coordination::Decision;
use hoptiller_coordination::Version;
use hoptiller_coordination::fault_injection::{self, Fault};
use hoptiller_coordination::{Command, ConfigWatcher, Document, Holder, Micros, Shard};
use hoptiller_coordination_client::{CallError, Clock, CoordinationClient, Secret, wire};
use hoptiller_fleet_tasks::Duty;

use crate::learnt::{read, write_whole};
use crate::leased::Leased;
use crate::settings::AgreementSettings;

/// The file's name in the state folder.
pub const NAME: &str = "agreed";
/// Time for each keeper.
const EACH: Duration = Duration::from_millis(700);
/// Pause where no keeper answers.
const SOON: Duration = Duration::from_millis(100);
/// Time between two tellings of the same trouble.
const SAY_EVERY: Micros = 5_000_000;

/// A router's part in the agreement.
pub struct Agreed {
    follower: RefCell<ConfigWatcher>,
    clock: Clock,
    keepers: CoordinationClient,
    settings: AgreementSettings,
    file: Option<PathBuf>,
    /// The rules of the versions heeded can't be used here: nothing is done under them.
    unusable: Cell<bool>,
    /// Its leases.
    pub leased: Leased,
    said: Cell<Option<Micros>>,
    doubted: Cell<bool>,
    /// Rung when an answer has prolonged the permit.
    pub prolonged: Bell,
}

/// A verdict on a send, as a text that goes with it: versions, and whether in doubt.
pub fn stamp(in_force: u64, heeds: u64, doubt: bool) -> String {
    format!("{in_force}..{heeds}{}", if doubt { " doubt" } else { "" })
}

impl Agreed {
    /// A router's part, in the life of that name; what an earlier life wrote down is known.
    pub fn new(
        settings: AgreementSettings,
        secret: Secret,
        router: &str,
        life: &str,
        state: Option<&Path>,
        clock: Clock,
    ) -> Rc<Agreed> {
        let file = state.map(|dir| dir.join(NAME));
        let known = file.as_deref().map(remembered).unwrap_or_default();
        let me = Holder {
            router: router.to_owned(),
            incarnation: life.to_owned(),
        };
        let keepers = CoordinationClient::new(settings.keepers.clone(), secret);
        keepers.set_preferred(hoptiller_router_core::group_of(router) as usize);
        let leased = Leased::new(&settings.bounds(), clock);
        Rc::new(Agreed {
            follower: RefCell::new(ConfigWatcher::new(me, settings.bounds(), known)),
            clock,
            keepers,
            settings,
            file,
            unusable: Cell::new(false),
            leased,
            said: Cell::new(None),
            doubted: Cell::new(true),
            prolonged: Bell::new(),
        })
    }

    /// What may be done with a class now.
    pub fn verdict(&self, class: &str) -> Decision {
        match self.unusable.get() {
            true => Decision::Reject,
            false => self.follower.borrow().decide(self.clock.now(), class),
        }
    }

    /// The rules that contradict none of the versions heeded.
    pub fn rules(&self) -> Option<Document> {
        self.follower.borrow().merged_document().cloned()
    }

    /// Whether a statement that names no class has one.
    pub fn has_default(&self) -> bool {
        self.follower
            .borrow()
            .merged_document()
            .is_some_and(|r| r.default_class.is_some())
    }

    /// Whether an engine's process that began then, in ms since 1970, may get work by the agreed list.
    pub fn lists(&self, engine: &str, started: u64) -> bool {
        let follower = self.follower.borrow();
        follower
            .merged_document()
            .and_then(|r| r.list.as_ref())
            .is_none_or(|list| list.accepts_work(engine, started))
    }

    /// The rules of the versions heeded can be used here, or not.
    pub fn usable(&self, usable: bool) {
        self.unusable.set(!usable);
    }

    /// Whether it holds no living permit; and the versions that it heeds.
    pub fn standing(&self) -> (bool, u64, u64) {
        let follower = self.follower.borrow();
        (
            follower.is_in_doubt(self.clock.now()),
            follower.in_force(),
            follower.enforced(),
        )
    }

    /// Asks for ever; `changed` is called when other rules are to be heeded, before anything is done under them.
    pub async fn run(self: Rc<Self>, changed: impl Fn()) {
        if self.follower.borrow().merged_document().is_some() {
            changed();
        }
        loop {
            let again = self.ask(&changed).await;
            self.tell_doubt();
            // A router that has heard of a version says so at once: others wait for it.
            if !again {
                self.pause().await;
            }
        }
    }

    /// Waits until it is time to ask, or a keeper tells that there is news.
    async fn pause(&self) {
        let every = self.settings.ask_every;
        let wanted = self.leased.wanted.listen();
        let told = async {
            match self
                .keepers
                .call::<wire::VersionNumbers>(wire::WATCH, Some(&self.watch()), every + EACH)
                .await
            {
                Ok(told) if self.is_news(&told) => {}
                // A keeper that is behind would answer so again and again.
                Ok(_) => future::pending().await,
                Err(_) => {
                    Timer::after(SOON).await;
                }
            }
        };
        let over = async {
            Timer::after(every).await;
        };
        future::or(wanted, future::or(told, over)).await;
    }

    fn watch(&self) -> wire::WatchRequest {
        let (_, in_force, last) = self.standing();
        let wait_ms = self.settings.ask_every.as_millis() as u64;
        let known = wire::VersionNumbers {
            in_force,
            last,
            lease_table: self.leased.board(),
        };
        wire::WatchRequest {
            known,
            wait_ms,
            watch_leases: self.has_tasks(),
        }
    }

    /// Whether the fleet has tasks that one router does for all.
    fn has_tasks(&self) -> bool {
        self.follower
            .borrow()
            .merged_document()
            .is_some_and(|r| !r.tasks.is_empty())
    }

    /// Whose a part of a task is now.
    pub fn duty(&self, part: Shard) -> Duty {
        if self.has_tasks() {
            self.leased.duty(part, self.standing().0)
        } else {
            Duty::Own
        }
    }

    /// Has notes taken, for ever.
    pub async fn keep_noting(self: Rc<Self>) {
        let me = self.follower.borrow().holder().clone();
        self.leased.keep_noting(&me, &self.keepers).await;
    }

    /// Takes no leases any more, and gives back those that it has. Returns whether all are given back.
    pub async fn hand_over(&self) -> bool {
        !self.has_tasks() || self.leased.hand_over(self.settings.permit / 2).await
    }

    fn is_news(&self, told: &wire::VersionNumbers) -> bool {
        let (_, in_force, heeds) = self.standing();
        let board = self.has_tasks() && told.lease_table > self.leased.board();
        told.in_force > in_force || told.last > heeds || board
    }

    /// Asks once. Returns whether there was news.
    async fn ask(&self, changed: &impl Fn()) -> bool {
        let (id, act) = self.follower.borrow_mut().start_renewal(self.clock.now());
        let Command::RenewLease {
            holder,
            enforced: heeds,
            in_force,
            ..
        } = act
        else {
            return false;
        };
        let offer = self.has_tasks().then(|| self.leased.offer(id));
        let bounds = self.settings.bounds();
        let body = wire::LeaseRenewalRequest {
            holder,
            enforced_version: heeds,
            in_force,
            term: bounds.term,
            drift: bounds.drift,
            offer,
        };
        let answer: Result<wire::LeaseRenewalResponse, CallError> = self
            .keepers
            .call(wire::RENEW_LEASE, Some(&body), EACH)
            .await;
        let granted = match answer {
            Ok(wire::LeaseRenewalResponse::Granted(granted)) => granted,
            Ok(other) => {
                self.unanswered(id);
                self.say(&match other {
                    wire::LeaseRenewalResponse::Ahead => {
                        "keepers don't know a version that this router knows: one went back"
                    }
                    wire::LeaseRenewalResponse::TooManyHolders => {
                        "keepers have too many routers already"
                    }
                    _ => "keepers have no version yet; put one with `hoptiller settings put`",
                });
                return false;
            }
            Err(e) => {
                self.unanswered(id);
                self.say(&e);
                return false;
            }
        };
        if fault_injection::is_injected(Fault::TermFromResponse) {
            self.follower.borrow_mut().set_sent_at(id, self.clock.now());
        }
        let (serial, leases, board) = (
            granted.serial,
            granted.leases.clone(),
            granted.lease_table.clone(),
        );
        let taken = self.follower.borrow_mut().accept_grant(id, granted);
        match taken {
            Ok(news) => {
                self.leased
                    .granted(id, serial, leases.as_deref(), board.as_ref());
                if news {
                    changed();
                    self.write();
                }
                self.prolonged.notify(usize::MAX);
                news
            }
            Err(e) => {
                self.leased.unanswered(id);
                self.say(&e);
                false
            }
        }
    }

    fn unanswered(&self, id: u64) {
        self.follower.borrow_mut().abandon_renewal(id);
        self.leased.unanswered(id);
    }

    /// Gives the permit back: nothing more is done under it.
    pub async fn give_back(&self) {
        let me = self.follower.borrow().holder().clone();
        let given: Result<(), CallError> = self
            .keepers
            .call(wire::RELEASE_LEASE, Some(&me), EACH)
            .await;
        if let Err(e) = given {
            tracing::warn!(why = %e, "the permit was not given back; it runs out by itself");
        }
    }

    fn say(&self, why: &dyn std::fmt::Display) {
        let now = self.clock.now();
        if self.said.get().is_none_or(|at| now >= at + SAY_EVERY) {
            self.said.set(Some(now));
            tracing::warn!(%why, "the permit is not prolonged");
        }
    }

    fn tell_doubt(&self) {
        let (doubt, in_force, heeds) = self.standing();
        if self.doubted.replace(doubt) != doubt {
            match doubt {
                true => tracing::warn!(in_force, heeds, "in doubt: the permit has ended"),
                false => tracing::info!(in_force, heeds, "the permit is alive"),
            }
        }
    }

    fn write(&self) {
        let Some(file) = &self.file else { return };
        let body = serde_json::to_vec(self.follower.borrow().versions()).unwrap_or_default();
        let digest = hoptiller_coordination_client::secret::digest(&body);
        let bytes = [digest.as_bytes(), b"\n", &body].concat();
        if let Err(e) = write_whole(file, &bytes) {
            tracing::warn!(file = %file.display(), why = %e, "the versions heeded can't be written down");
        }
    }
}

/// What an earlier life wrote down; nothing where that is not whole.
fn remembered(file: &Path) -> Vec<Version> {
    let Ok(bytes) = read(file) else {
        return Vec::new();
    };
    let known = bytes.iter().position(|b| *b == b'\n').and_then(|at| {
        let (digest, body) = (&bytes[..at], &bytes[at + 1..]);
        (hoptiller_coordination_client::secret::digest(body).as_bytes() == digest)
            .then(|| serde_json::from_slice(body).ok())?
    });
    if known.is_none() {
        tracing::warn!(file = %file.display(), "the versions that an earlier life heeded can't be read");
    }
    known.unwrap_or_default()
}
