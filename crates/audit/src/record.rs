//! Owns the records: one JSON object a line, each written by the party that saw it.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Outcome a client was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All rows came.
    Served,
    /// Refused: trying again is harmless.
    Refused,
    /// Failed: nothing promised.
    Failed,
}

/// The configuration versions that an attempt was sent under. Stored as the sequence `[in_force, enforced, in_doubt]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, bool)", into = "(u64, u64, bool)")]
pub struct SentVersions {
    /// The version in force at the router.
    pub in_force: u64,
    /// The newest version that the router enforced.
    pub enforced: u64,
    /// Whether the router could not be sure that its versions were current.
    pub in_doubt: bool,
}

impl From<(u64, u64, bool)> for SentVersions {
    fn from((in_force, enforced, in_doubt): (u64, u64, bool)) -> Self {
        Self {
            in_force,
            enforced,
            in_doubt,
        }
    }
}

impl From<SentVersions> for (u64, u64, bool) {
    fn from(versions: SentVersions) -> Self {
        (versions.in_force, versions.enforced, versions.in_doubt)
    }
}

/// Something that was seen. Times are µs since 1970. `request` is a client's own number of one submission;
/// `trace` names what is to be done, and stays the same when a client submits it again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Record {
    /// A client submitted a statement, and will wait until `gives_up`.
    Submitted {
        at: u64,
        request: u64,
        trace: String,
        router: String,
        class: String,
        key: Option<String>,
        #[serde(rename = "gives_up")]
        deadline: u64,
    },
    /// It was taken.
    #[serde(rename = "taken")]
    Admitted { at: u64, request: u64 },
    /// It was not taken.
    #[serde(rename = "turned_away")]
    Rejected { at: u64, request: u64, status: u16 },
    /// The client can't know whether it was taken: the connection broke.
    #[serde(rename = "unknown")]
    AdmissionUnknown { at: u64, request: u64 },
    /// Rows came.
    #[serde(rename = "rows")]
    RowsReceived { at: u64, request: u64, rows: u64 },
    /// The final answer came.
    Answered {
        at: u64,
        request: u64,
        #[serde(rename = "how")]
        outcome: Outcome,
        error: Option<String>,
    },
    /// Something came behind the final answer that was not the same.
    #[serde(rename = "changed")]
    FinalAnswerChanged { at: u64, request: u64 },
    /// The client gave up waiting, without a final answer.
    #[serde(rename = "gave_up")]
    TimedOut { at: u64, request: u64 },
    /// The client left on purpose, or ended the statement.
    #[serde(rename = "left")]
    Cancelled { at: u64, request: u64 },

    /// An attempt reached an engine.
    Sent {
        at: u64,
        engine: String,
        kind: String,
        router: String,
        trace: String,
        class: String,
        #[serde(rename = "hop")]
        attempt: u32,
        /// The configuration versions that it was sent under; absent where routers do not use versions.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        versions: Option<SentVersions>,
    },
    /// The engine is done with it, however it ended.
    Done {
        at: u64,
        engine: String,
        trace: String,
        /// Work of all threads that it took, in µs; 0 where it was not done.
        #[serde(default)]
        work: u64,
    },
    /// An engine refused an attempt unseen, as the rules that it was sent under are over.
    Fenced {
        at: u64,
        engine: String,
        router: String,
        #[serde(rename = "heeds")]
        enforced: u64,
    },
    /// Discovery or an engine was asked something under a lease, and has answered it or refused it as outdated.
    #[serde(rename = "leased")]
    LeasedRequest {
        at: u64,
        resource: String,
        router: String,
        #[serde(rename = "part")]
        shard: String,
        #[serde(rename = "number")]
        fencing_token: u64,
        refused: bool,
    },
    /// An effect was written to the ledger.
    #[serde(rename = "posted")]
    EffectWritten {
        at: u64,
        engine: String,
        trace: String,
    },
    /// An engine's process began.
    #[serde(rename = "started")]
    EngineStarted { at: u64, engine: String, cold: bool },
    /// An engine was pushed over.
    #[serde(rename = "fell")]
    EngineCrashed { at: u64, engine: String },
    /// A router was told that an engine drains or is gone.
    #[serde(rename = "told_drain")]
    DrainNotified {
        at: u64,
        engine: String,
        router: String,
    },
    /// A router was told that an engine is up.
    #[serde(rename = "told_up")]
    UpNotified {
        at: u64,
        engine: String,
        router: String,
    },

    /// A router's process was ended at once; what it held then is not owed.
    #[serde(rename = "killed")]
    RouterKilled { at: u64, router: String },
    /// A router's process was stopped then, and went on later: what came or was held meanwhile is not owed in time.
    #[serde(rename = "stood_still")]
    RouterPaused { at: u64, router: String, until: u64 },
}

impl Record {
    /// When it was seen.
    pub fn at(&self) -> u64 {
        match self {
            Record::Submitted { at, .. }
            | Record::Admitted { at, .. }
            | Record::Rejected { at, .. }
            | Record::AdmissionUnknown { at, .. }
            | Record::RowsReceived { at, .. }
            | Record::Answered { at, .. }
            | Record::FinalAnswerChanged { at, .. }
            | Record::TimedOut { at, .. }
            | Record::Cancelled { at, .. }
            | Record::Sent { at, .. }
            | Record::Done { at, .. }
            | Record::Fenced { at, .. }
            | Record::LeasedRequest { at, .. }
            | Record::EffectWritten { at, .. }
            | Record::EngineStarted { at, .. }
            | Record::EngineCrashed { at, .. }
            | Record::DrainNotified { at, .. }
            | Record::UpNotified { at, .. }
            | Record::RouterKilled { at, .. }
            | Record::RouterPaused { at, .. } => *at,
        }
    }
}

/// Now, in µs since 1970.
pub fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// Where records go: memory, and a file where one is given. Shared by all who write to the same.
#[derive(Clone, Default)]
pub struct Recorder(Arc<Mutex<Sink>>);

#[derive(Default)]
struct Sink {
    all: Vec<Record>,
    file: Option<File>,
    error: Option<io::Error>,
}

impl Recorder {
    /// Into memory and a file.
    pub fn to_file(path: &Path) -> io::Result<Recorder> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Recorder(Arc::new(Mutex::new(Sink {
            file: Some(file),
            ..Sink::default()
        }))))
    }

    /// Writes one. A full disk is told by [`Recorder::records`], not by a panic in whoever writes.
    pub fn write(&self, record: Record) {
        let Ok(mut sink) = self.0.lock() else { return };
        if let Some(file) = &mut sink.file {
            let mut line = serde_json::to_vec(&record).unwrap_or_default();
            line.push(b'\n');
            if let Err(e) = file.write_all(&line) {
                sink.error.get_or_insert(e);
            }
        }
        sink.all.push(record);
    }

    /// All of them so far, or why some are not in the file.
    pub fn records(&self) -> io::Result<Vec<Record>> {
        let Ok(mut sink) = self.0.lock() else {
            return Err(io::Error::other("a writer panicked"));
        };
        match sink.error.take() {
            Some(e) => Err(e),
            None => Ok(sink.all.clone()),
        }
    }
}

/// A line of a record file that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MalformedLine {
    /// File and line.
    pub location: String,
    /// Why.
    pub error: String,
}

/// Reads all `*.jsonl` of a folder. Lines that can't be read are told, and the rest is used.
pub fn read_records(dir: &Path) -> io::Result<(Vec<Record>, Vec<MalformedLine>)> {
    let mut paths: Vec<_> = std::fs::read_dir(dir)?
        .filter_map(|e| e.ok().map(|e| e.path()))
        .filter(|p| p.extension().is_some_and(|e| e == "jsonl"))
        .collect();
    paths.sort();
    let (mut records, mut bad) = (Vec::new(), Vec::new());
    for path in paths {
        for (at, line) in BufReader::new(File::open(&path)?).split(b'\n').enumerate() {
            let line = line?;
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            match serde_json::from_slice(&line) {
                Ok(record) => records.push(record),
                Err(e) => {
                    let location = format!("{}:{}", path.display(), at + 1);
                    bad.push(MalformedLine {
                        location,
                        error: e.to_string(),
                    });
                }
            }
        }
    }
    records.sort_by_key(Record::at);
    Ok((records, bad))
}
