//! One statement: its state, its numbered responses, and the time of its client's last poll.

use std::rc::Rc;

use hoptiller_policy::{AttemptStatus, EngineId, Event, LoadReport, Micros, Outcome, RequestId};

use crate::attempt_log::{AttemptLog, MICROS_PER_MILLI};
use crate::command::{Attempt, AttemptOutcome};
use crate::history::{StatementHistory, StatementPhase};
use crate::identity::StatementId;
use crate::response::{FinalResponse, ResponseContent, ResultPage, StatementResponse};
use crate::runaway_profile::RunawayProfile;
use crate::statement_state::{Delivery, StatementState};
use crate::submission::{EngineStatement, Submission};

/// The position of a response number relative to the responses delivered so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponsePosition {
    /// The latest response delivered.
    Latest,
    /// The next response.
    Next,
    /// A response older than the latest one.
    Superseded,
    /// A response that was never offered to the client.
    NeverOffered,
}

/// Options that the controller set for the next attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SendOptions {
    /// Priority from 0 to 3, if set.
    pub(crate) priority: Option<u8>,
    /// Memory grant in MB; 0 lets the engine decide.
    pub(crate) memory_grant_mb: f64,
}

/// An accepted statement.
#[derive(Debug)]
pub(crate) struct Statement {
    id: StatementId,
    class: usize,
    runaway_profile: Option<RunawayProfile>,
    received_at: Micros,
    valid_until: Micros,
    /// Text and session fields to send; dropped when the final response is settled.
    engine_statement: Option<Rc<EngineStatement>>,
    send_options: SendOptions,
    attempts: AttemptLog,
    state: StatementState,
    /// Latest response delivered.
    latest: Rc<StatementResponse>,
    last_polled_at: Micros,
    /// Number of polls that wait for updates.
    waiters: u32,
    settled_at: Option<Micros>,
    /// Whether the final response was delivered or has no recipient.
    is_delivered: bool,
}

impl Statement {
    /// Creates a statement that was just received.
    pub(crate) fn new(
        id: StatementId,
        submission: &Submission,
        runaway_profile: Option<RunawayProfile>,
        now: Micros,
        valid_until: Micros,
    ) -> Statement {
        let first = StatementResponse {
            number: 0,
            class: submission.class,
            content: ResponseContent::NoChange,
            was_sent: false,
            streaming: false,
            elapsed: 0,
            queued: 0,
        };
        Statement {
            id,
            class: submission.class,
            runaway_profile,
            received_at: now,
            valid_until,
            engine_statement: Some(submission.engine_statement.clone()),
            send_options: SendOptions::default(),
            attempts: AttemptLog::default(),
            state: StatementState::Pending,
            latest: Rc::new(first),
            last_polled_at: now,
            waiters: 0,
            settled_at: None,
            is_delivered: false,
        }
    }

    /// Returns the index of the statement's class.
    pub(crate) fn class(&self) -> usize {
        self.class
    }

    /// Returns the data for the runaway detector, if there is a detector.
    pub(crate) fn runaway_profile(&self) -> Option<&RunawayProfile> {
        self.runaway_profile.as_ref()
    }

    /// Returns the time at which the statement times out: the client's timeout is limited by the deadline of the class.
    pub(crate) fn valid_until(&self) -> Micros {
        self.valid_until
    }

    /// Returns the state of the statement.
    pub(crate) fn state(&self) -> &StatementState {
        &self.state
    }

    /// Returns the attempts of the statement.
    pub(crate) fn attempts(&self) -> &AttemptLog {
        &self.attempts
    }

    /// Returns whether the controller still decides on the statement: it is queued or has running attempts.
    pub(crate) fn is_pending(&self) -> bool {
        matches!(self.state, StatementState::Pending)
    }

    /// Returns whether the final response is settled.
    pub(crate) fn is_settled(&self) -> bool {
        matches!(self.state, StatementState::Settled(_))
    }

    /// Returns the time at which the final response was settled.
    pub(crate) fn settled_at(&self) -> Option<Micros> {
        self.settled_at
    }

    /// Returns whether the final response is settled, and was delivered or has no recipient.
    pub(crate) fn is_settled_and_delivered(&self) -> bool {
        self.is_settled() && self.is_delivered
    }

    /// Returns the time of the client's last poll.
    pub(crate) fn last_polled_at(&self) -> Micros {
        self.last_polled_at
    }

    /// Returns whether any poll waits for updates.
    pub(crate) fn has_waiters(&self) -> bool {
        self.waiters > 0
    }

    /// Records a poll by the client.
    pub(crate) fn record_poll(&mut self, now: Micros) {
        self.last_polled_at = now;
    }

    /// Registers a poll that waits for updates.
    pub(crate) fn add_waiter(&mut self, now: Micros) {
        self.record_poll(now);
        self.waiters += 1;
    }

    /// Unregisters a poll that waited for updates.
    pub(crate) fn remove_waiter(&mut self, now: Micros) {
        self.record_poll(now);
        self.waiters = self.waiters.saturating_sub(1);
    }

    /// Sets the options of the next attempt.
    pub(crate) fn set_send_options(&mut self, options: SendOptions) {
        self.send_options = options;
    }

    /// Accepts a page of an attempt's result. Returns `false` if the page is not needed: another attempt delivers its
    /// result, the outcome of this attempt was already reported, or the statement is settled.
    pub(crate) fn accept_page(&mut self, now: Micros, attempt: u32, page: ResultPage) -> bool {
        match &mut self.state {
            // Rows of an attempt whose outcome was already reported could mix with those of a later attempt.
            StatementState::Pending if self.attempts.is_in_flight(attempt) => {
                self.attempts.record_first_page(attempt, now);
                self.state = StatementState::FirstPageReady { attempt, page };
                true
            }
            StatementState::Streaming {
                attempt: streaming,
                next,
            } if *streaming == attempt => {
                *next = Some(page);
                true
            }
            _ => false,
        }
    }

    /// Discards the first page of an attempt if it has not been delivered yet. Returns the size of the page in bytes.
    pub(crate) fn discard_first_page(&mut self, attempt: u32) -> u64 {
        self.state.discard_first_page(attempt)
    }

    /// Takes the next page or the final response for delivery. A first page commits the statement to its attempt.
    pub(crate) fn take_delivery(&mut self) -> Option<Delivery> {
        self.state.take_delivery()
    }

    /// Returns the memory in bytes that counts against the limit on statements, until the final response is settled.
    pub(crate) fn counted_bytes(&self) -> u64 {
        let statement = self.engine_statement.as_deref();
        statement.map_or(0, EngineStatement::counted_bytes)
    }

    /// Settles the final response. Returns the size in bytes of the buffered page that it discards.
    pub(crate) fn settle(&mut self, now: Micros, response: FinalResponse) -> u64 {
        self.is_delivered |= matches!(response, FinalResponse::Canceled | FinalResponse::Abandoned);
        self.settled_at = Some(now);
        self.engine_statement = None;
        std::mem::replace(&mut self.state, StatementState::Settled(response)).buffered_bytes()
    }

    /// Records that the final response or the last page of the result was delivered.
    pub(crate) fn mark_delivered(&mut self) {
        self.is_delivered = true;
    }

    /// Returns the latest response delivered.
    pub(crate) fn latest(&self) -> Rc<StatementResponse> {
        self.latest.clone()
    }

    /// Returns the time since the statement was received.
    pub(crate) fn elapsed(&self, now: Micros) -> Micros {
        now - self.received_at
    }

    /// Returns the position of a response number.
    pub(crate) fn position_of(&self, number: u64) -> ResponsePosition {
        match number {
            n if n == self.latest.number => ResponsePosition::Latest,
            n if n < self.latest.number => ResponsePosition::Superseded,
            n if n == self.latest.number + 1 && !self.latest.is_final() => ResponsePosition::Next,
            _ => ResponsePosition::NeverOffered,
        }
    }

    /// Creates the next numbered response, which supersedes the previous one.
    pub(crate) fn respond(
        &mut self,
        now: Micros,
        content: ResponseContent,
    ) -> Rc<StatementResponse> {
        let response = StatementResponse {
            number: self.latest.number + 1,
            class: self.class,
            streaming: self.latest.streaming || matches!(content, ResponseContent::Rows(_)),
            content,
            was_sent: !self.attempts.is_empty(),
            elapsed: self.elapsed(now),
            queued: self.attempts.first_sent_at().unwrap_or(now) - self.received_at,
        };
        self.latest = Rc::new(response);
        self.latest.clone()
    }

    /// Records the next attempt and creates it with the options set for it.
    pub(crate) fn start_attempt(
        &mut self,
        now: Micros,
        engine: EngineId,
        deadline: Micros,
        send_by: Option<Micros>,
    ) -> Attempt {
        let number = self.attempts.push(now, engine);
        let options = std::mem::take(&mut self.send_options);
        Attempt {
            statement_id: self.id,
            number,
            engine,
            class: self.class,
            priority: options.priority,
            memory_grant_mb: options.memory_grant_mb,
            deadline,
            send_by,
            engine_statement: self.engine_statement.clone().unwrap_or_default(),
        }
    }

    /// Marks an attempt as succeeded. Returns the event for the controller, or `None` if the outcome was already
    /// reported. The run time ends with the first page, because the rest depends on how fast the client reads, not on
    /// the engine.
    pub(crate) fn record_success(&mut self, attempt: u32, now: Micros) -> Option<Event> {
        let (report, work) = self.reported_load_and_work();
        let ended = self.attempts.end(attempt, now, AttemptStatus::Succeeded)?;
        Some(Event::Outcome(Outcome {
            request: RequestId(self.id),
            attempt,
            engine: ended.engine,
            status: AttemptStatus::Succeeded,
            elapsed: ended.first_page_at.unwrap_or(now) - ended.sent_at,
            terminal: true,
            work,
            report,
        }))
    }

    /// Returns the engine's load and the work done, as reported with the first page or else with the last page
    /// delivered.
    fn reported_load_and_work(&self) -> (Option<LoadReport>, Option<Micros>) {
        match (&self.state, &self.latest.content) {
            (StatementState::FirstPageReady { page, .. }, _) | (_, ResponseContent::Rows(page)) => {
                (page.load_report, page.work)
            }
            _ => (None, None),
        }
    }

    /// Marks an attempt as ended without a result. Returns the event for the controller, or `None` if the outcome was
    /// already reported. No further attempt follows a terminal outcome.
    pub(crate) fn record_outcome(
        &mut self,
        attempt: u32,
        now: Micros,
        outcome: &AttemptOutcome,
        terminal: bool,
    ) -> Option<Event> {
        self.attempts.record_reason(attempt, &outcome.reason);
        let ended = self.attempts.end(attempt, now, outcome.status)?;
        Some(Event::Outcome(Outcome {
            request: RequestId(self.id),
            attempt,
            engine: ended.engine,
            status: outcome.status,
            elapsed: now - ended.sent_at,
            terminal,
            work: None,
            report: outcome.load_report,
        }))
    }

    /// Describes why the controller gave up the statement, as far as its attempts show it.
    pub(crate) fn failure_reason(&self, now: Micros) -> String {
        let waited_ms = self.millis_since_received(now);
        let Some(last_reason) = self.attempts.last_reason() else {
            return format!("the statement was not sent to any engine within {waited_ms} ms");
        };
        let attempts = match self.attempts.count() {
            1 => "one attempt".to_owned(),
            count => format!("{count} attempts"),
        };
        let reason = match last_reason {
            "" => "no outcome yet",
            reason => reason,
        };
        format!("{attempts} in {waited_ms} ms; last attempt: {reason}")
    }

    /// Returns the history of the statement so far.
    pub(crate) fn history(&self, now: Micros) -> StatementHistory {
        let end = self.settled_at.unwrap_or(now);
        let first_sent_at = self.attempts.first_sent_at().unwrap_or(end);
        let reason = match &self.state {
            StatementState::Settled(response) => response.reason().to_owned(),
            _ => String::new(),
        };
        StatementHistory {
            class: self.class,
            phase: self.phase(),
            reason,
            elapsed_ms: self.millis_since_received(end),
            timeout_ms: self.millis_since_received(self.valid_until),
            queued_ms: self.millis_since_received(first_sent_at),
            responses: self.latest.number,
            attempts: self.attempts.history(self.received_at),
        }
    }

    fn millis_since_received(&self, at: Micros) -> u64 {
        (at - self.received_at) / MICROS_PER_MILLI
    }

    fn phase(&self) -> StatementPhase {
        match &self.state {
            StatementState::Pending if self.attempts.is_empty() => StatementPhase::Queued,
            StatementState::Pending if self.attempts.are_all_ended() => {
                StatementPhase::AwaitingRetry
            }
            StatementState::Pending => StatementPhase::Running,
            StatementState::FirstPageReady { .. } => StatementPhase::ResultReady,
            StatementState::Streaming { .. } => StatementPhase::Streaming,
            StatementState::Settled(response) => StatementPhase::Settled(response.label()),
        }
    }
}
