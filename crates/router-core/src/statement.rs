//! One statement: its state, its attempts, its numbered responses.

use std::rc::Rc;

use hoptiller_policy::{AttemptStatus, EngineId, Event, LoadReport, Micros, Outcome, RequestId};
use hoptiller_runaway::{Announced, FingerprintId};

use crate::command::{Attempt, AttemptOutcome};
use crate::history::{AttemptHistory, StatementHistory};
use crate::identity::StatementId;
use crate::response::{FinalResponse, ResponseContent, ResultPage, StatementResponse};
use crate::submission::{EngineStatement, Submission};

const MICROS_PER_MILLI: Micros = 1000;

/// How far a statement has come.
#[derive(Debug)]
pub(crate) enum StatementState {
    /// With the controller: it is queued, or its attempts run.
    Pending,
    /// A first page was received and not delivered: another attempt could still replace it.
    FirstPageReady { attempt: u32, page: ResultPage },
    /// Rows were delivered: only this attempt can continue.
    Streaming {
        attempt: u32,
        next: Option<ResultPage>,
    },
    /// The final response is settled.
    Settled(FinalResponse),
}

impl StatementState {
    /// Size of the buffered page in bytes.
    pub(crate) fn buffered_bytes(&self) -> u64 {
        match self {
            StatementState::FirstPageReady { page, .. }
            | StatementState::Streaming {
                next: Some(page), ..
            } => page.size_bytes(),
            _ => 0,
        }
    }
}

/// The position of a response number among a statement's responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponsePosition {
    /// The last one delivered.
    Latest,
    /// The next one.
    Next,
    /// Delivered before the last one.
    Superseded,
    /// Never offered.
    NeverOffered,
}

/// An attempt that was sent.
#[derive(Debug)]
pub(crate) struct AttemptRecord {
    engine: EngineId,
    sent_at: Micros,
    first_page_at: Option<Micros>,
    /// Set once its outcome is reported to the controller.
    ended: Option<(Micros, AttemptStatus)>,
    reason: String,
}

/// What the runaway detector is told of a statement's attempts.
#[derive(Clone, Debug)]
pub(crate) struct RunawayProfile {
    /// Its fingerprint and class.
    pub(crate) kind: FingerprintId,
    /// What a hold on it applies to.
    pub(crate) held_as: FingerprintId,
    /// Its text without literal values.
    pub(crate) label: Rc<str>,
    /// What the client announced of its size.
    pub(crate) announced: Announced,
    /// Number of the group of tables that it reads or writes.
    pub(crate) group: Option<u64>,
}

/// Options that the controller sets for the next attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SendOptions {
    /// Priority, 0 to 3, if one was set.
    pub(crate) priority: Option<u8>,
    /// Memory to grant, in MB; 0 leaves it to the engine.
    pub(crate) memory_grant_mb: f64,
}

/// One statement.
#[derive(Debug)]
pub(crate) struct Statement {
    id: StatementId,
    pub(crate) runaway_profile: Option<RunawayProfile>,
    pub(crate) class: usize,
    pub(crate) received_at: Micros,
    pub(crate) valid_until: Micros,
    /// What to send; dropped once the final response is settled.
    pub(crate) work: Option<Rc<EngineStatement>>,
    pub(crate) send_options: SendOptions,
    attempts: Vec<AttemptRecord>,
    pub(crate) state: StatementState,
    /// The last response delivered.
    pub(crate) latest: Rc<StatementResponse>,
    pub(crate) last_polled_at: Micros,
    /// Number of polls that wait for news.
    pub(crate) waiters: u32,
    pub(crate) settled_at: Option<Micros>,
    /// The final response was delivered, or nobody is there to receive it.
    pub(crate) is_delivered: bool,
    /// The statement table has counted it as delivered.
    pub(crate) is_counted_as_delivered: bool,
    /// To be removed once its attempts have ended.
    pub(crate) is_retired: bool,
}

impl Statement {
    /// A statement just received.
    pub(crate) fn new(
        id: StatementId,
        submission: &Submission,
        runaway_profile: Option<RunawayProfile>,
        now: Micros,
        valid_until: Micros,
    ) -> Statement {
        let first = StatementResponse {
            page: 0,
            class: submission.class,
            content: ResponseContent::NoChange,
            running: false,
            streaming: false,
            elapsed: 0,
            queued: 0,
        };
        Statement {
            id,
            runaway_profile,
            class: submission.class,
            received_at: now,
            valid_until,
            work: Some(submission.work.clone()),
            send_options: SendOptions::default(),
            attempts: Vec::new(),
            state: StatementState::Pending,
            latest: Rc::new(first),
            last_polled_at: now,
            waiters: 0,
            settled_at: None,
            is_delivered: false,
            is_counted_as_delivered: false,
            is_retired: false,
        }
    }

    /// Whether the final response is settled.
    pub(crate) fn is_settled(&self) -> bool {
        matches!(self.state, StatementState::Settled(_))
    }

    /// Whether there is something new to deliver.
    pub(crate) fn has_news(&self) -> bool {
        matches!(
            self.state,
            StatementState::FirstPageReady { .. }
                | StatementState::Streaming { next: Some(_), .. }
                | StatementState::Settled(_)
        )
    }

    /// Takes the state for a transition; `Pending` stands in for it.
    pub(crate) fn take_state(&mut self) -> StatementState {
        std::mem::replace(&mut self.state, StatementState::Pending)
    }

    /// Number of attempts made.
    pub(crate) fn attempt_count(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Whether an attempt's outcome has not been reported.
    pub(crate) fn is_in_flight(&self, attempt: u32) -> bool {
        self.attempts
            .get(attempt as usize)
            .is_some_and(|record| record.ended.is_none())
    }

    /// Whether the outcomes of all attempts have been reported.
    pub(crate) fn all_attempts_ended(&self) -> bool {
        self.attempts.iter().all(|record| record.ended.is_some())
    }

    /// When its first attempt was sent.
    pub(crate) fn first_sent_at(&self) -> Option<Micros> {
        self.attempts.first().map(|record| record.sent_at)
    }

    /// The engine that an attempt was sent to.
    pub(crate) fn engine_of(&self, attempt: u32) -> Option<EngineId> {
        self.attempts
            .get(attempt as usize)
            .map(|record| record.engine)
    }

    /// The position of a response number.
    pub(crate) fn position_of(&self, page: u64) -> ResponsePosition {
        match page {
            p if p == self.latest.page => ResponsePosition::Latest,
            p if p < self.latest.page => ResponsePosition::Superseded,
            p if p == self.latest.page + 1 && !self.latest.is_final() => ResponsePosition::Next,
            _ => ResponsePosition::NeverOffered,
        }
    }

    /// Makes the next numbered response, which supersedes the one before.
    pub(crate) fn respond(
        &mut self,
        now: Micros,
        content: ResponseContent,
    ) -> Rc<StatementResponse> {
        let response = StatementResponse {
            page: self.latest.page + 1,
            class: self.class,
            streaming: self.latest.streaming || matches!(content, ResponseContent::Rows(_)),
            content,
            running: !self.attempts.is_empty(),
            elapsed: now - self.received_at,
            queued: self.first_sent_at().unwrap_or(now) - self.received_at,
        };
        self.latest = Rc::new(response);
        self.latest.clone()
    }

    /// Records the next attempt, and makes it with the options set for it.
    pub(crate) fn start_attempt(
        &mut self,
        now: Micros,
        engine: EngineId,
        deadline: Micros,
        send_by: Option<Micros>,
    ) -> Attempt {
        let number = self.attempt_count();
        self.attempts.push(AttemptRecord {
            engine,
            sent_at: now,
            first_page_at: None,
            ended: None,
            reason: String::new(),
        });
        let options = std::mem::take(&mut self.send_options);
        Attempt {
            id: self.id,
            number,
            engine,
            class: self.class,
            priority: options.priority,
            memory_grant_mb: options.memory_grant_mb,
            deadline,
            send_by,
            work: self.work.clone().unwrap_or_default(),
        }
    }

    /// Records when an attempt's first page was received.
    pub(crate) fn record_page(&mut self, attempt: u32, now: Micros) {
        if let Some(record) = self.attempts.get_mut(attempt as usize) {
            record.first_page_at.get_or_insert(now);
        }
    }

    /// Marks an attempt as succeeded and returns the event for the controller; `None` if its outcome was reported
    /// before. The run time ends with the first page: how fast a client reads the rest says nothing of the engine.
    pub(crate) fn record_success(&mut self, attempt: u32, now: Micros) -> Option<Event> {
        let (load_report, work) = self.reported_load_and_work();
        let record = self
            .attempts
            .get_mut(attempt as usize)
            .filter(|record| record.ended.is_none())?;
        record.ended = Some((now, AttemptStatus::Succeeded));
        Some(Event::Outcome(Outcome {
            request: RequestId(self.id),
            attempt,
            engine: record.engine,
            status: AttemptStatus::Succeeded,
            elapsed: record.first_page_at.unwrap_or(now) - record.sent_at,
            terminal: true,
            work,
            report: load_report,
        }))
    }

    /// The engine's load and the work done, as reported with the first page, or else with the page delivered last.
    fn reported_load_and_work(&self) -> (Option<LoadReport>, Option<Micros>) {
        match (&self.state, &self.latest.content) {
            (StatementState::FirstPageReady { page, .. }, _) | (_, ResponseContent::Rows(page)) => {
                (page.load_report, page.work)
            }
            _ => (None, None),
        }
    }

    /// Marks an attempt as ended without a result and returns the event for the controller; `None` if its outcome was
    /// reported before. After a terminal outcome there will be no other attempt.
    pub(crate) fn record_outcome(
        &mut self,
        attempt: u32,
        now: Micros,
        outcome: &AttemptOutcome,
        terminal: bool,
    ) -> Option<Event> {
        let record = self.attempts.get_mut(attempt as usize)?;
        record.reason = outcome.reason.clone();
        if record.ended.is_some() {
            return None;
        }
        record.ended = Some((now, outcome.status));
        Some(Event::Outcome(Outcome {
            request: RequestId(self.id),
            attempt,
            engine: record.engine,
            status: outcome.status,
            elapsed: now - record.sent_at,
            terminal,
            work: None,
            report: outcome.load_report,
        }))
    }

    /// Why the controller gave it up, for people, as far as its attempts show.
    pub(crate) fn rejection_reason(&self, now: Micros) -> String {
        let waited_ms = (now - self.received_at) / MICROS_PER_MILLI;
        let Some(last) = self.attempts.last() else {
            return format!("no engine had a place for it within {waited_ms} ms");
        };
        let attempts = match self.attempts.len() {
            1 => "one attempt".to_owned(),
            count => format!("{count} attempts"),
        };
        let reason = match last.reason.as_str() {
            "" => "it has not ended",
            reason => reason,
        };
        format!("{attempts} in {waited_ms} ms; the last: {reason}")
    }

    /// Its history up to now.
    pub(crate) fn history(&self, now: Micros) -> StatementHistory {
        let end = self.settled_at.unwrap_or(now);
        let reason = match &self.state {
            StatementState::Settled(response) => response.reason().to_owned(),
            _ => String::new(),
        };
        StatementHistory {
            class: self.class,
            state: self.state_description(),
            reason,
            elapsed_ms: self.millis_since_received(end),
            timeout_ms: self.millis_since_received(self.valid_until),
            queued_ms: self.millis_since_received(self.first_sent_at().unwrap_or(end)),
            responses: self.latest.page,
            attempts: self.attempt_history(),
        }
    }

    fn attempt_history(&self) -> Vec<AttemptHistory> {
        let history = |(number, record): (usize, &AttemptRecord)| AttemptHistory {
            number: number as u32,
            engine: record.engine,
            sent_ms: self.millis_since_received(record.sent_at),
            first_page_ms: record
                .first_page_at
                .map(|at| self.millis_since_received(at)),
            ended_ms: record.ended.map(|(at, _)| self.millis_since_received(at)),
            status: record.ended.map(|(_, status)| status),
            reason: record.reason.clone(),
        };
        self.attempts.iter().enumerate().map(history).collect()
    }

    fn millis_since_received(&self, at: Micros) -> u64 {
        (at - self.received_at) / MICROS_PER_MILLI
    }

    fn state_description(&self) -> &'static str {
        match &self.state {
            StatementState::Pending if self.attempts.is_empty() => "waits for a place",
            StatementState::Pending if self.all_attempts_ended() => "waits to be sent again",
            StatementState::Pending => "runs",
            StatementState::FirstPageReady { .. } => "has a result that nobody has fetched",
            StatementState::Streaming { .. } => "gives out rows",
            StatementState::Settled(response) => response.label(),
        }
    }
}
