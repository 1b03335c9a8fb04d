//! The attempts of one statement, by number.

use hoptiller_policy::{AttemptStatus, EngineId, Micros};

use crate::history::AttemptHistory;

pub(crate) const MICROS_PER_MILLI: Micros = 1000;

/// An attempt that was sent.
#[derive(Debug)]
struct AttemptRecord {
    engine: EngineId,
    sent_at: Micros,
    first_page_at: Option<Micros>,
    /// Time and status of the end; set when the outcome is reported to the controller.
    ended: Option<(Micros, AttemptStatus)>,
    /// Description of how the attempt failed; empty if it succeeded or has not ended.
    reason: String,
}

/// An attempt whose outcome has to be reported to the controller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) engine: EngineId,
    pub(crate) sent_at: Micros,
    pub(crate) first_page_at: Option<Micros>,
}

/// The attempts of a statement. The outcome of each attempt is reported to the controller once.
#[derive(Debug, Default)]
pub(crate) struct AttemptLog {
    records: Vec<AttemptRecord>,
}

impl AttemptLog {
    /// Adds an attempt that is sent now and returns its number.
    pub(crate) fn push(&mut self, now: Micros, engine: EngineId) -> u32 {
        let number = self.count();
        self.records.push(AttemptRecord {
            engine,
            sent_at: now,
            first_page_at: None,
            ended: None,
            reason: String::new(),
        });
        number
    }

    /// Returns the number of attempts made.
    pub(crate) fn count(&self) -> u32 {
        self.records.len() as u32
    }

    /// Returns whether no attempt was made.
    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether an attempt was made and its outcome has not been reported.
    pub(crate) fn is_in_flight(&self, attempt: u32) -> bool {
        self.get(attempt)
            .is_some_and(|record| record.ended.is_none())
    }

    /// Returns whether the outcomes of all attempts have been reported.
    pub(crate) fn are_all_ended(&self) -> bool {
        self.records.iter().all(|record| record.ended.is_some())
    }

    /// Returns the time at which the first attempt was sent.
    pub(crate) fn first_sent_at(&self) -> Option<Micros> {
        self.records.first().map(|record| record.sent_at)
    }

    /// Returns the engine that an attempt was sent to.
    pub(crate) fn engine_of(&self, attempt: u32) -> Option<EngineId> {
        self.get(attempt).map(|record| record.engine)
    }

    /// Describes how the last attempt failed; empty if it succeeded or has not ended, `None` if no attempt was made.
    pub(crate) fn last_reason(&self) -> Option<&str> {
        self.records.last().map(|record| record.reason.as_str())
    }

    /// Records the time at which an attempt's first page was received.
    pub(crate) fn record_first_page(&mut self, attempt: u32, now: Micros) {
        if let Some(record) = self.get_mut(attempt) {
            record.first_page_at.get_or_insert(now);
        }
    }

    /// Records a description of how an attempt failed.
    pub(crate) fn record_reason(&mut self, attempt: u32, reason: &str) {
        if let Some(record) = self.get_mut(attempt) {
            record.reason = reason.to_owned();
        }
    }

    /// Ends an attempt. Returns `None` if its outcome was already reported or there is no such attempt.
    pub(crate) fn end(
        &mut self,
        attempt: u32,
        now: Micros,
        status: AttemptStatus,
    ) -> Option<EndedAttempt> {
        let record = self
            .get_mut(attempt)
            .filter(|record| record.ended.is_none())?;
        record.ended = Some((now, status));
        Some(EndedAttempt {
            engine: record.engine,
            sent_at: record.sent_at,
            first_page_at: record.first_page_at,
        })
    }

    /// Returns the history of the attempts, with times relative to `received_at`.
    pub(crate) fn history(&self, received_at: Micros) -> Vec<AttemptHistory> {
        let millis = |at: Micros| (at - received_at) / MICROS_PER_MILLI;
        let history = |(number, record): (usize, &AttemptRecord)| AttemptHistory {
            number: number as u32,
            engine: record.engine,
            sent_ms: millis(record.sent_at),
            first_page_ms: record.first_page_at.map(millis),
            ended_ms: record.ended.map(|(at, _)| millis(at)),
            status: record.ended.map(|(_, status)| status),
            reason: record.reason.clone(),
        };
        self.records.iter().enumerate().map(history).collect()
    }

    fn get(&self, attempt: u32) -> Option<&AttemptRecord> {
        self.records.get(attempt as usize)
    }

    fn get_mut(&mut self, attempt: u32) -> Option<&mut AttemptRecord> {
        self.records.get_mut(attempt as usize)
    }
}
