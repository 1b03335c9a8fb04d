//! Owns one statement: its stage, its attempts, its numbered answers.

use std::rc::Rc;

use hoptiller_policy::{AttemptStatus, EngineId, Event, Micros, Outcome, RequestId};
use hoptiller_runaway::{Announced, KindId};

use super::history::{AttemptHistory, StatementHistory};
use super::page::{FinalResponse, ResponseContent, ResultPage, StatementResponse};
use super::{Attempt, AttemptOutcome, EngineStatement, StatementId, Submission};

/// How far a statement has come.
#[derive(Debug)]
pub(super) enum Stage {
    /// With the module: it waits, or its attempts run.
    Waiting,
    /// A first page has come, and was not given out: another attempt could still take its place.
    Held { hop: u32, page: ResultPage },
    /// Rows were given out: only this attempt can go on.
    Flowing { hop: u32, next: Option<ResultPage> },
    /// The final answer is settled.
    Over(FinalResponse),
}

impl Stage {
    /// Bytes of the page that it holds.
    pub(super) fn bytes(&self) -> u64 {
        match self {
            Stage::Held { page, .. }
            | Stage::Flowing {
                next: Some(page), ..
            } => page.bytes(),
            _ => 0,
        }
    }
}

/// Where a number stands among a statement's answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// It is the last one given out.
    Same,
    /// It is the next one.
    Next,
    /// It was given out before the last one.
    Old,
    /// It was never offered.
    Never,
}

#[derive(Debug)]
pub(super) struct Try {
    engine: EngineId,
    sent: Micros,
    /// When its first page came.
    page: Option<Micros>,
    ended: Option<(Micros, AttemptStatus)>,
    why: String,
}

/// What the watch for runaways asks of a statement.
#[derive(Clone, Debug)]
pub(super) struct Watched {
    pub kind: KindId,
    pub held_as: KindId,
    pub label: Rc<str>,
    pub announced: Announced,
    pub group: Option<u64>,
}

#[derive(Debug)]
pub(super) struct Statement {
    id: StatementId,
    pub(super) watched: Option<Watched>,
    pub(super) class: usize,
    pub(super) came: Micros,
    pub(super) valid_until: Micros,
    pub(super) work: Option<Rc<EngineStatement>>,
    pub(super) terms: (Option<u8>, f64),
    pub(super) attempts: Vec<Try>,
    pub(super) stage: Stage,
    pub(super) last: Rc<StatementResponse>,
    /// When its client last asked, and how many ask now.
    pub(super) asked: Micros,
    pub(super) waiters: u32,
    pub(super) over_at: Option<Micros>,
    /// The final answer was given out, or nobody is there to take it.
    pub(super) delivered: bool,
    /// Counted by the table as given out; to be forgotten.
    pub(super) counted: bool,
    pub(super) retired: bool,
}

impl Statement {
    pub(super) fn new(
        id: StatementId,
        s: &Submission,
        watched: Option<Watched>,
        now: Micros,
        valid_until: Micros,
    ) -> Statement {
        let content = ResponseContent::NoChange;
        let first = StatementResponse {
            page: 0,
            class: s.class,
            content,
            running: false,
            streaming: false,
            elapsed: 0,
            queued: 0,
        };
        Statement {
            id,
            watched,
            class: s.class,
            came: now,
            valid_until,
            work: Some(s.work.clone()),
            terms: (None, 0.0),
            attempts: Vec::new(),
            stage: Stage::Waiting,
            last: Rc::new(first),
            asked: now,
            waiters: 0,
            over_at: None,
            delivered: false,
            counted: false,
            retired: false,
        }
    }

    pub(super) fn is_settled(&self) -> bool {
        matches!(self.stage, Stage::Over(_))
    }

    /// Whether an attempt's end has not been told.
    pub(super) fn is_out(&self, hop: u32) -> bool {
        self.attempts
            .get(hop as usize)
            .is_some_and(|t| t.ended.is_none())
    }

    /// Whether no attempt's outcome is still to come.
    pub(super) fn is_quiet(&self) -> bool {
        self.attempts.iter().all(|t| t.ended.is_some())
    }

    pub(super) fn place_of(&self, page: u64) -> Place {
        match page {
            p if p == self.last.page => Place::Same,
            p if p < self.last.page => Place::Old,
            p if p == self.last.page + 1 && !self.last.is_final() => Place::Next,
            _ => Place::Never,
        }
    }

    pub(super) fn has_news(&self) -> bool {
        matches!(
            self.stage,
            Stage::Held { .. } | Stage::Flowing { next: Some(_), .. } | Stage::Over(_)
        )
    }

    /// The next numbered answer; the one before it is forgotten.
    pub(super) fn give(&mut self, now: Micros, content: ResponseContent) -> Rc<StatementResponse> {
        let answer = StatementResponse {
            page: self.last.page + 1,
            class: self.class,
            streaming: self.last.streaming || matches!(content, ResponseContent::Rows(_)),
            content,
            running: !self.attempts.is_empty(),
            elapsed: now - self.came,
            queued: self.attempts.first().map_or(now, |a| a.sent) - self.came,
        };
        self.last = Rc::new(answer);
        self.last.clone()
    }

    pub(super) fn no_news(&mut self, now: Micros) -> Rc<StatementResponse> {
        self.give(now, ResponseContent::NoChange)
    }

    pub(super) fn attempt(
        &mut self,
        now: Micros,
        engine: EngineId,
        until: Micros,
        send_by: Option<Micros>,
    ) -> Attempt {
        let hop = self.attempts.len() as u32;
        self.attempts.push(Try {
            engine,
            sent: now,
            page: None,
            ended: None,
            why: String::new(),
        });
        let (priority, grant) = std::mem::take(&mut self.terms);
        let work = self.work.clone().unwrap_or_default();
        Attempt {
            id: self.id,
            number: hop,
            engine,
            class: self.class,
            priority,
            memory_grant_mb: grant,
            deadline: until,
            send_by,
            work,
        }
    }

    /// When its first attempt was sent.
    pub(super) fn first_sent(&self) -> Option<Micros> {
        self.attempts.first().map(|t| t.sent)
    }

    pub(super) fn engine_of(&self, hop: u32) -> Option<EngineId> {
        self.attempts.get(hop as usize).map(|t| t.engine)
    }

    pub(super) fn note_page(&mut self, hop: u32, now: Micros) {
        if let Some(t) = self.attempts.get_mut(hop as usize) {
            t.page.get_or_insert(now);
        }
    }

    /// The event that an attempt served; none if its end was told before. Run time is up to the first page:
    /// how fast a client reads the rest says nothing of the engine.
    pub(super) fn outcome_good(&mut self, hop: u32, now: Micros) -> Option<Event> {
        let (report, work) = match &self.stage {
            Stage::Held { page, .. } => (page.load_report, page.work),
            _ => match &self.last.content {
                ResponseContent::Rows(page) => (page.load_report, page.work),
                _ => (None, None),
            },
        };
        let t = self
            .attempts
            .get_mut(hop as usize)
            .filter(|t| t.ended.is_none())?;
        t.ended = Some((now, AttemptStatus::Succeeded));
        let elapsed = t.page.unwrap_or(now) - t.sent;
        Some(Event::Outcome(Outcome {
            request: RequestId(self.id),
            attempt: hop,
            engine: t.engine,
            status: AttemptStatus::Succeeded,
            elapsed,
            terminal: true,
            work,
            report,
        }))
    }

    /// The event that an attempt ended without a result; none if its end was told before. A terminal one is the
    /// statement's last: there will be no other attempt.
    pub(super) fn outcome(
        &mut self,
        hop: u32,
        now: Micros,
        e: &AttemptOutcome,
        terminal: bool,
    ) -> Option<Event> {
        let t = self.attempts.get_mut(hop as usize)?;
        t.why = e.reason.clone();
        if t.ended.is_some() {
            return None;
        }
        t.ended = Some((now, e.status));
        Some(Event::Outcome(Outcome {
            request: RequestId(self.id),
            attempt: hop,
            engine: t.engine,
            status: e.status,
            elapsed: now - t.sent,
            terminal,
            work: None,
            report: e.load_report,
        }))
    }

    /// Why the module gave it up, as far as the course tells.
    pub(super) fn why_given_up(&self, now: Micros) -> String {
        let waited = (now - self.came) / 1000;
        match self.attempts.last() {
            None => format!("no engine had a place for it within {waited} ms"),
            Some(t) => {
                let n = self.attempts.len();
                let tries = if n == 1 {
                    "one attempt".into()
                } else {
                    format!("{n} attempts")
                };
                let why = if t.why.is_empty() {
                    "it has not ended"
                } else {
                    &t.why
                };
                format!("{tries} in {waited} ms; the last: {why}")
            }
        }
    }

    pub(super) fn course(&self, now: Micros) -> StatementHistory {
        let attempts = self
            .attempts
            .iter()
            .enumerate()
            .map(|(hop, t)| AttemptHistory {
                number: hop as u32,
                engine: t.engine,
                sent_ms: (t.sent - self.came) / 1000,
                first_page_ms: t.page.map(|at| (at - self.came) / 1000),
                ended_ms: t.ended.map(|(at, _)| (at - self.came) / 1000),
                status: t.ended.map(|(_, how)| how),
                reason: t.why.clone(),
            });
        let state = match &self.stage {
            Stage::Waiting if self.attempts.is_empty() => "waits for a place",
            Stage::Waiting if self.is_quiet() => "waits to be sent again",
            Stage::Waiting => "runs",
            Stage::Held { .. } => "has a result that nobody has fetched",
            Stage::Flowing { .. } => "gives out rows",
            Stage::Over(how) => how.label(),
        };
        let why = match &self.stage {
            Stage::Over(how) => how.reason().to_owned(),
            _ => String::new(),
        };
        StatementHistory {
            class: self.class,
            state,
            reason: why,
            elapsed_ms: (self.over_at.unwrap_or(now) - self.came) / 1000,
            timeout_ms: (self.valid_until - self.came) / 1000,
            queued_ms: (self
                .attempts
                .first()
                .map_or(self.over_at.unwrap_or(now), |a| a.sent)
                - self.came)
                / 1000,
            responses: self.last.page,
            attempts: attempts.collect(),
        }
    }
}
