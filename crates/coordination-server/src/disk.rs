//! Owns what of a keeper outlives its process: the log's promise, its entries, and the state that stands for entries no
//! longer kept, in one file, one transaction a step. All of it is also held in memory, from where it is read.
//!
//! Towards the consensus library the log is whole: it never hears that entries were let go. Where it asks for some of
//! them, the first comes as [`Entry::State`], the state after all of them, and the others as [`Entry::Filler`]. So a
//! keeper that lags far is brought up by the ordinary way of entries. (The library's own snapshots, in 0.2.4, lose
//! entries where a follower merges a part: `docs/agreement.md`.)
//!
//! A disk that is missing is a new one; anything else that is not whole and this keeper's own is told for what it is,
//! and never guessed over. After a write that failed nothing more leaves the keeper: it may not say what it may forget.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use hoptiller_coordination::fault_injection::{self, Fault};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{StopSign, Storage, StorageOp, StorageResult};
use redb::{
    Database, DatabaseError, Durability, ReadableDatabase, ReadableTable, StorageError,
    TableDefinition,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::held::{Change, Held};
use crate::log::{Entry, NoSnapshot};
use crate::machine::Machine;
use crate::members::Members;

/// The form of the file.
const FORM: u32 = 1;
/// The file, and its name until it is whole.
const FILE: &str = "keeper.redb";
const NEW: &str = "keeper.redb.new";
/// First bytes of any file of the store's kind.
const MAGIC: &[u8] = b"redb";

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// Whose disk it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The form of the file.
    pub form: u32,
    /// The fleet.
    pub fleet: String,
    /// The keeper.
    pub keeper: u64,
    /// Drawn when the disk was made: tells it from a new one of the same keeper.
    pub disk: String,
}

/// What a peer was last known to hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDisk {
    /// Its disk.
    pub disk: String,
    /// Steps that it had written.
    pub step: u64,
}

/// Why a disk can't be used, or no longer.
#[derive(Debug)]
pub enum DiskError {
    /// It can't be reached.
    Io(PathBuf, io::Error),
    /// It is full.
    Full(PathBuf),
    /// Another process holds it.
    InUse(PathBuf),
    /// It is cut short.
    Cut(PathBuf),
    /// It is no keeper's, or of another form.
    Foreign(PathBuf, String),
    /// It is whole, and somebody else's.
    Other(PathBuf, Box<Identity>),
    /// Its checksums or its contents are wrong.
    Damaged(PathBuf, String),
    /// What is to be written has no form there.
    Form(PathBuf, String),
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiskError::Io(path, e) => write!(f, "{}: {e}", path.display()),
            DiskError::Full(path) => {
                write!(
                    f,
                    "{}: the disk is full; make room, and start again",
                    path.display()
                )
            }
            DiskError::InUse(path) => write!(f, "{}: another process holds it", path.display()),
            DiskError::Cut(path) => write!(
                f,
                "{}: the file is cut short. What this keeper had promised is lost: replace the keeper, don't restore \
                 the file from a copy",
                path.display()
            ),
            DiskError::Foreign(path, why) => {
                write!(
                    f,
                    "{}: no file of a keeper of this version: {why}",
                    path.display()
                )
            }
            DiskError::Other(path, who) => {
                write!(
                    f,
                    "{}: belongs to keeper {} of fleet {:?}",
                    path.display(),
                    who.keeper,
                    who.fleet
                )
            }
            DiskError::Form(path, why) => {
                write!(
                    f,
                    "{}: what is to be written has no form there: {why}",
                    path.display()
                )
            }
            DiskError::Damaged(path, why) => write!(
                f,
                "{}: damaged: {why}. What this keeper had promised is lost: replace the keeper",
                path.display()
            ),
        }
    }
}

impl std::error::Error for DiskError {}

/// The first failure of a write, for whoever drives the log.
pub type Failed = Rc<RefCell<Option<DiskError>>>;

/// A keeper's disk, shared between the log and the one who lets go of its entries.
#[derive(Clone)]
pub struct Disk(Rc<RefCell<Inner>>);

struct Inner {
    path: PathBuf,
    db: Database,
    identity: Identity,
    held: Held,
    /// Lives of this keeper on this disk, this one included.
    life: u64,
    /// Durable steps so far.
    step: Rc<RefCell<u64>>,
    peers: Rc<RefCell<BTreeMap<u64, PeerDisk>>>,
    /// The file may not grow beyond.
    most_bytes: u64,
    failed: Failed,
}

/// What others share of a disk: its steps and what is known of the peers' disks, written with the next step.
#[derive(Clone)]
pub struct Shared {
    /// Durable steps so far.
    pub step: Rc<RefCell<u64>>,
    /// What is known of the peers' disks.
    pub peers: Rc<RefCell<BTreeMap<u64, PeerDisk>>>,
    /// The first failure.
    pub failed: Failed,
}

impl Disk {
    /// Opens a keeper's disk, or makes one where there is none. `fresh` names a new one.
    pub fn open(
        dir: &Path,
        fleet: &str,
        keeper: u64,
        fresh: &str,
        most_bytes: u64,
    ) -> Result<Disk, DiskError> {
        std::fs::create_dir_all(dir).map_err(|e| DiskError::Io(dir.to_owned(), e))?;
        let path = dir.join(FILE);
        let me = Identity {
            form: FORM,
            fleet: fleet.into(),
            keeper,
            disk: fresh.into(),
        };
        if !path
            .try_exists()
            .map_err(|e| DiskError::Io(path.clone(), e))?
        {
            make(&dir.join(NEW), &path, &me)?;
        }
        let db = open_file(&path)?;
        let wrong = |e: &dyn fmt::Display| DiskError::Damaged(path.clone(), e.to_string());
        let txn = db.begin_read().map_err(|e| wrong(&e))?;
        let meta = txn
            .open_table(META)
            .map_err(|e| DiskError::Foreign(path.clone(), e.to_string()))?;
        let get = |key: &str| -> Result<Option<Vec<u8>>, DiskError> {
            Ok(meta
                .get(key)
                .map_err(|e| wrong(&e))?
                .map(|v| v.value().to_vec()))
        };
        let identity: Identity = match get("identity")? {
            None => {
                return Err(DiskError::Foreign(
                    path,
                    "it says of nobody whose it is".into(),
                ));
            }
            Some(bytes) => parse(&path, &bytes)?,
        };
        if identity.form != FORM {
            return Err(DiskError::Foreign(
                path,
                format!("form {}, {FORM} is known", identity.form),
            ));
        }
        if (identity.fleet.as_str(), identity.keeper) != (fleet, keeper) {
            return Err(DiskError::Other(path, Box::new(identity)));
        }
        fn value<T: DeserializeOwned>(
            path: &Path,
            bytes: Option<Vec<u8>>,
        ) -> Result<Option<T>, DiskError> {
            bytes.map(|b| parse(path, &b)).transpose()
        }
        let mut held = Held {
            promise: value::<Option<_>>(&path, get("promise")?)?.flatten(),
            accepted_round: value::<Option<_>>(&path, get("accepted_round")?)?.flatten(),
            decided: value(&path, get("decided")?)?.unwrap_or(0),
            stopsign: value::<Option<_>>(&path, get("stopsign")?)?.flatten(),
            base: value(&path, get("base")?)?.unwrap_or(0),
            state: value(&path, get("state")?)?.unwrap_or_default(),
            log: VecDeque::new(),
            members: value(&path, get("members")?)?,
        };
        let step = value(&path, get("step")?)?.unwrap_or(0);
        let peers = value(&path, get("peers")?)?.unwrap_or_default();
        let log = txn
            .open_table(LOG)
            .map_err(|e| DiskError::Foreign(path.clone(), e.to_string()))?;
        let mut next = held.base as u64;
        for item in log.iter().map_err(|e| wrong(&e))? {
            let (key, entry) = item.map_err(|e| wrong(&e))?;
            if key.value() != next {
                return Err(DiskError::Damaged(
                    path,
                    format!("entry {next} of the log is missing"),
                ));
            }
            held.log.push_back(parse(&path, entry.value())?);
            next += 1;
        }
        if (held.decided as u64) > next {
            return Err(DiskError::Damaged(
                path,
                format!("{} entries are decided, {next} are there", held.decided),
            ));
        }
        if fault_injection::is_injected(Fault::LoseDurableState) {
            (held.promise, held.accepted_round) = (None, None);
            held.log.truncate(held.decided.saturating_sub(held.base));
        }
        let life = value(&path, get("life")?)?.unwrap_or(0) + 1;
        drop((meta, log, txn));
        begin_life(&db, life).map_err(|e| of_error(&path, e))?;
        Ok(Disk(Rc::new(RefCell::new(Inner {
            path,
            db,
            identity,
            held,
            life,
            step: Rc::new(RefCell::new(step)),
            peers: Rc::new(RefCell::new(peers)),
            most_bytes,
            failed: Failed::default(),
        }))))
    }

    /// Whose it is.
    pub fn identity(&self) -> Identity {
        self.0.borrow().identity.clone()
    }

    /// The number of this life: tells this process from the ones before.
    pub fn life(&self) -> u64 {
        self.0.borrow().life
    }

    /// What others share of it.
    pub fn shared(&self) -> Shared {
        let d = self.0.borrow();
        Shared {
            step: d.step.clone(),
            peers: d.peers.clone(),
            failed: d.failed.clone(),
        }
    }

    /// Lets go of the entries before one, which must all be decided; `state` is what they lead to.
    pub fn let_go(&self, upto: usize, state: &Machine) {
        let mut d = self.0.borrow_mut();
        if upto > d.held.base && upto <= d.held.decided.min(d.held.next()) {
            d.step(vec![Change::LetGo(upto, state.clone())]);
        }
    }

    /// Another list of keepers holds, from that index on, where `state` is what all before led to. In one transaction:
    /// a keeper that crashes is of one list or of the other.
    pub fn move_on(&self, members: Members, base: usize, state: Machine) {
        self.0
            .borrow_mut()
            .step(vec![Change::MoveOn(members, base, state)]);
    }

    /// Who the keepers are, where the list that the fleet began with no longer holds.
    pub fn members(&self) -> Option<Members> {
        self.0.borrow().held.members.clone()
    }

    /// Whether nothing was ever promised or learned on it.
    pub fn is_blank(&self) -> bool {
        let held = &self.0.borrow().held;
        held.members.is_none() && held.promise.is_none() && held.next() == 0
    }

    /// Entries that are kept one by one.
    pub fn kept(&self) -> usize {
        self.0.borrow().held.log.len()
    }

    fn change(&self, changes: Vec<Change>) -> StorageResult<()> {
        self.0.borrow_mut().step(changes);
        Ok(())
    }
}

impl Inner {
    /// One transaction. In memory the change is made whether or not it is written: after a failure nothing counts.
    fn step(&mut self, changes: Vec<Change>) {
        if self.failed.borrow().is_some() || changes.is_empty() {
            return;
        }
        let changes = self.held.fitted(changes);
        if let Err(e) = self.write(&changes) {
            tracing::error!(error = %e, "a step could not be written");
            self.failed.borrow_mut().get_or_insert(e);
        }
        changes
            .into_iter()
            .for_each(|change| self.held.change(change));
    }

    fn write(&self, changes: &[Change]) -> Result<(), DiskError> {
        // How far is decided is found again from the others: that alone need not reach the disk at once.
        let durable = changes.iter().any(|c| !matches!(c, Change::Decided(_)));
        let bytes = std::fs::metadata(&self.path)
            .map_err(|e| DiskError::Io(self.path.clone(), e))?
            .len();
        if bytes > self.most_bytes {
            return Err(DiskError::Full(self.path.clone()));
        }
        let failed = |e: redb::Error| self.of_error(e);
        let path = &self.path;
        let mut txn = self.db.begin_write().map_err(|e| failed(e.into()))?;
        if !durable {
            txn.set_durability(Durability::None)
                .map_err(|e| failed(e.into()))?;
        }
        {
            let mut meta = txn.open_table(META).map_err(|e| failed(e.into()))?;
            let mut log = txn.open_table(LOG).map_err(|e| failed(e.into()))?;
            let mut put = |key: &str, value: Vec<u8>| {
                meta.insert(key, value.as_slice())
                    .map(|_| ())
                    .map_err(|e| failed(e.into()))
            };
            for change in changes {
                match change {
                    Change::Promise(b) => put("promise", json(path, b)?)?,
                    Change::AcceptedRound(b) => put("accepted_round", json(path, b)?)?,
                    Change::Decided(n) => put("decided", json(path, n)?)?,
                    Change::Stopsign(s) => put("stopsign", json(path, s)?)?,
                    Change::LetGo(upto, state) => {
                        put("base", json(path, upto)?)?;
                        put("state", json(path, state)?)?;
                        log.retain_in(..*upto as u64, |_, _| false)
                            .map_err(|e| failed(e.into()))?;
                    }
                    Change::MoveOn(members, base, state) => {
                        put("members", json(path, members)?)?;
                        put("base", json(path, base)?)?;
                        put("decided", json(path, base)?)?;
                        put("state", json(path, state)?)?;
                        put("stopsign", json(path, &None::<StopSign>)?)?;
                        for key in ["promise", "accepted_round"] {
                            put(key, json(path, &None::<Ballot>)?)?;
                        }
                        log.retain(|_, _| false).map_err(|e| failed(e.into()))?;
                    }
                    Change::Write(from, entries) => {
                        let from = *from as u64;
                        log.retain_in(from.., |_, _| false)
                            .map_err(|e| failed(e.into()))?;
                        for (at, entry) in (from..).zip(entries) {
                            log.insert(at, json(path, entry)?.as_slice())
                                .map_err(|e| failed(e.into()))?;
                        }
                    }
                }
            }
            if durable {
                put("step", json(path, &(*self.step.borrow() + 1))?)?;
                put("peers", json(path, &*self.peers.borrow())?)?;
            }
        }
        txn.commit().map_err(|e| failed(e.into()))?;
        if durable {
            *self.step.borrow_mut() += 1;
        }
        Ok(())
    }

    fn of_error(&self, e: redb::Error) -> DiskError {
        of_error(&self.path, e)
    }
}

fn of_error(path: &Path, e: redb::Error) -> DiskError {
    match e {
        redb::Error::Io(e)
            if matches!(
                e.kind(),
                io::ErrorKind::StorageFull | io::ErrorKind::FileTooLarge
            ) =>
        {
            DiskError::Full(path.to_owned())
        }
        redb::Error::Io(e) => DiskError::Io(path.to_owned(), e),
        e => DiskError::Damaged(path.to_owned(), e.to_string()),
    }
}

/// Makes a whole file under another name first: a crash leaves either no disk or a good one.
fn make(beside: &Path, path: &Path, me: &Identity) -> Result<(), DiskError> {
    let io = |e| DiskError::Io(beside.to_owned(), e);
    match std::fs::remove_file(beside) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(io(e)),
        _ => {}
    }
    let db = Database::create(beside).map_err(|e| of_error(beside, e.into()))?;
    let identity = json(beside, me)?;
    let written = || -> Result<(), redb::Error> {
        let txn = db.begin_write()?;
        txn.open_table(META)?
            .insert("identity", identity.as_slice())?;
        txn.open_table(LOG)?;
        txn.commit()?;
        Ok(())
    };
    written().map_err(|e| of_error(beside, e))?;
    drop(db);
    std::fs::rename(beside, path).map_err(io)?;
    let dir = path.parent().unwrap_or(path);
    std::fs::File::open(dir)
        .and_then(|d| d.sync_all())
        .map_err(io)
}

fn begin_life(db: &Database, life: u64) -> Result<(), redb::Error> {
    let txn = db.begin_write()?;
    txn.open_table(META)?
        .insert("life", life.to_string().as_bytes())?;
    txn.commit()?;
    Ok(())
}

fn open_file(path: &Path) -> Result<Database, DiskError> {
    let io = |e| DiskError::Io(path.to_owned(), e);
    let mut first = [0; 4];
    {
        use std::io::Read;
        let mut file = std::fs::File::open(path).map_err(io)?;
        match file.read_exact(&mut first) {
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => {
                return Err(DiskError::Cut(path.to_owned()));
            }
            Err(e) => return Err(io(e)),
            Ok(()) => {}
        }
    }
    if first != *MAGIC {
        return Err(DiskError::Foreign(
            path.to_owned(),
            "its first bytes are another kind's".into(),
        ));
    }
    // Danger: the store panics where pages that it reads make no sense. Their checksums are looked at first, and a
    // panic there is damage too.
    let opened = std::panic::catch_unwind(|| {
        let mut db = Database::open(path)?;
        let sound = db.check_integrity()?;
        Ok((db, sound))
    });
    let damaged = |why: &str| Err(DiskError::Damaged(path.to_owned(), why.to_owned()));
    let failed: DatabaseError = match opened {
        Err(_) => return damaged("its pages make no sense"),
        Ok(Ok((db, true))) => return Ok(db),
        Ok(Ok((_, false))) => return damaged("its checksums are wrong"),
        Ok(Err(e)) => e,
    };
    Err(match failed {
        DatabaseError::DatabaseAlreadyOpen | DatabaseError::LockProtocolMismatch => {
            DiskError::InUse(path.to_owned())
        }
        DatabaseError::UpgradeRequired(v) => {
            DiskError::Foreign(path.to_owned(), format!("store format {v}"))
        }
        DatabaseError::Storage(StorageError::Io(e)) if e.kind() == io::ErrorKind::UnexpectedEof => {
            DiskError::Cut(path.to_owned())
        }
        DatabaseError::Storage(StorageError::Io(e)) if e.kind() == io::ErrorKind::InvalidData => {
            DiskError::Damaged(path.to_owned(), e.to_string())
        }
        e => of_error(path, e.into()),
    })
}

/// Danger: what has no JSON form, as a map whose keys are no texts, must never be written as nothing: it would be missed
/// only when the keeper starts again.
fn json(path: &Path, value: &impl Serialize) -> Result<Vec<u8>, DiskError> {
    serde_json::to_vec(value).map_err(|e| DiskError::Form(path.to_owned(), e.to_string()))
}

fn parse<T: DeserializeOwned>(path: &Path, bytes: &[u8]) -> Result<T, DiskError> {
    serde_json::from_slice(bytes).map_err(|e| DiskError::Damaged(path.to_owned(), e.to_string()))
}

impl Storage<Entry> for Disk {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        let mut next = self.0.borrow().held.next();
        let mut changes = Vec::with_capacity(ops.len());
        for op in ops {
            let (from, entries) = match op {
                StorageOp::SetPromise(b) => {
                    changes.push(Change::Promise(b));
                    continue;
                }
                StorageOp::SetAcceptedRound(b) => {
                    changes.push(Change::AcceptedRound(b));
                    continue;
                }
                StorageOp::SetDecidedIndex(n) => {
                    changes.push(Change::Decided(n));
                    continue;
                }
                StorageOp::SetStopsign(s) => {
                    changes.push(Change::Stopsign(s));
                    continue;
                }
                StorageOp::AppendEntry(one) => (next, vec![one]),
                StorageOp::AppendEntries(all) => (next, all),
                StorageOp::AppendOnPrefix(from, all) => (from, all),
                // The library never trims: it is told that nothing is compacted, and has no snapshots.
                StorageOp::Trim(_) | StorageOp::SetCompactedIdx(_) | StorageOp::SetSnapshot(_) => {
                    continue;
                }
            };
            next = from + entries.len();
            changes.push(Change::Write(from, entries));
        }
        self.change(changes)
    }
    fn append_entry(&mut self, entry: Entry) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }
    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        let next = self.0.borrow().held.next();
        if entries.is_empty() {
            Ok(())
        } else {
            self.change(vec![Change::Write(next, entries)])
        }
    }
    fn append_on_prefix(&mut self, from_idx: usize, entries: Vec<Entry>) -> StorageResult<()> {
        self.change(vec![Change::Write(from_idx, entries)])
    }
    fn set_promise(&mut self, n_prom: Ballot) -> StorageResult<()> {
        self.change(vec![Change::Promise(n_prom)])
    }
    fn set_decided_idx(&mut self, ld: usize) -> StorageResult<()> {
        self.change(vec![Change::Decided(ld)])
    }
    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().held.decided)
    }
    fn set_accepted_round(&mut self, na: Ballot) -> StorageResult<()> {
        self.change(vec![Change::AcceptedRound(na)])
    }
    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().held.accepted_round)
    }
    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.0.borrow().held.between(from, to))
    }
    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().held.next())
    }
    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        let d = self.0.borrow();
        Ok(d.held.between(from, d.held.next()))
    }
    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().held.promise)
    }
    fn set_stopsign(&mut self, s: Option<StopSign>) -> StorageResult<()> {
        self.change(vec![Change::Stopsign(s)])
    }
    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.0.borrow().held.stopsign.clone())
    }
    fn trim(&mut self, _idx: usize) -> StorageResult<()> {
        Ok(())
    }
    fn set_compacted_idx(&mut self, _idx: usize) -> StorageResult<()> {
        Ok(())
    }
    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }
    fn set_snapshot(&mut self, _snapshot: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }
    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}
