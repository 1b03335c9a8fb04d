//! Owns one attempt at an engine: the statement is posted once, and its answers are polled for. How it ended is
//! told as what it proves: that it never ran, or that it may have.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use hoptiller_http::client::ClientError;
use hoptiller_http::{Method, Request, Response};
use hoptiller_policy::{AttemptStatus, Progress};
use hoptiller_runaway::{BlockedState, Holder, Proof};
use hoptiller_statement::{ErrorName, ErrorType, QueryResults, STATEMENT_PATH, Stats, extra};
use serde_json::value::RawValue;

use super::pool::Unsent;
use super::{Control, Engines, Report, Told, load_of_headers};
use hoptiller_router_core::{Attempt, AttemptOutcome, EngineError, ResultPage};

/// Polls in a row that may fail before the engine counts as gone. A poll asks for the same answer again: that
/// repeats nothing.
const POLLS: u32 = 3;
/// Pause after a poll that the engine could not answer now.
const POLL_PAUSE: Duration = Duration::from_millis(100);
/// Time for the engine to hear that a result is not wanted.
const FAREWELL: Duration = Duration::from_secs(1);

enum Step {
    Answered(Result<Response, ClientError>),
    /// It may not be sent: nothing was.
    Held(String),
    Late,
    Told(Control),
}

/// Why an attempt stops.
enum Stop {
    Ended(AttemptOutcome),
    Released,
}

type Outcome<T> = Result<T, Stop>;

struct Run<'a> {
    engines: &'a Engines,
    a: &'a Attempt,
    addr: SocketAddr,
    control: Receiver<Control>,
    report: &'a dyn Report,
    /// Where to ask next, and the engine's own id of the statement.
    next: Option<String>,
    query: Rc<RefCell<Option<String>>>,
    columns: Option<Rc<RawValue>>,
    /// A page has been passed on: no time limit any more, the client's reading sets the pace.
    flowing: bool,
}

pub(super) async fn run(
    engines: &Engines,
    a: &Attempt,
    control: Receiver<Control>,
    query: Rc<RefCell<Option<String>>>,
    report: &dyn Report,
) {
    let addr = engines.places.borrow().get(&a.engine).map(|p| p.1);
    let Some(addr) = addr else {
        let why = "the engine is not listed any more".to_owned();
        return report.ended(
            a.id,
            a.number,
            AttemptOutcome {
                status: AttemptStatus::NotSent,
                reason: why,
                load_report: None,
            },
        );
    };
    let (next, columns, flowing) = (None, None, false);
    let mut run = Run {
        engines,
        a,
        addr,
        control,
        report,
        next,
        query,
        columns,
        flowing,
    };
    match run.all().await {
        Ok(()) => {}
        Err(Stop::Ended(ended)) => {
            if matches!(
                ended.status,
                AttemptStatus::ConnectionReset | AttemptStatus::ConnectFailed
            ) {
                engines.pool.forget(a.engine);
            }
            if ended.status == AttemptStatus::Cancelled {
                run.farewell().await;
            }
            report.ended(a.id, a.number, ended);
        }
        Err(Stop::Released) => run.farewell().await,
    }
}

fn stop<T>(ending: AttemptStatus, why: impl Into<String>) -> Outcome<T> {
    Err(Stop::Ended(AttemptOutcome {
        status: ending,
        reason: why.into(),
        load_report: None,
    }))
}

impl Run<'_> {
    async fn all(&mut self) -> Outcome<()> {
        let mut answer = self.post().await?;
        while !self.take(&answer).await? {
            answer = self.poll().await?;
        }
        Ok(())
    }

    /// The one send.
    async fn post(&mut self) -> Outcome<Response> {
        let (a, manner) = (self.a, &self.engines.manner);
        let mut request = Request::new(Method::Post, STATEMENT_PATH);
        for (name, value) in &a.work.fields {
            request.headers.push(name, value);
        }
        request.headers.push(extra::ROUTER, &manner.router);
        request
            .headers
            .push(extra::STATEMENT_ID, &manner.names.statement_name(a.id));
        let class = self
            .engines
            .classes
            .borrow()
            .get(a.class)
            .cloned()
            .unwrap_or_default();
        request.headers.push(extra::CLASS, &class);
        let mut terms = vec![("hop", f64::from(a.number))];
        terms.extend(a.priority.map(|p| ("priority", f64::from(p))));
        terms.extend((a.memory_grant_mb > 0.0).then_some(("grant_mb", a.memory_grant_mb)));
        request
            .headers
            .push(extra::ATTEMPT_OPTIONS, &extra::format_numbers(&terms));
        request.body = a.work.text.clone().into_bytes();
        // The whole patience: the attempt's own limit ends it earlier.
        let within =
            Duration::from_micros(self.a.deadline.saturating_sub(self.report.now()) + 1_000_000);
        let answer = match self.send(&request, within).await {
            Step::Answered(Ok(answer)) => answer,
            Step::Held(why) => return stop(AttemptStatus::NotSent, why),
            Step::Answered(Err(ClientError::Connect(e))) => {
                return stop(AttemptStatus::ConnectFailed, format!("no connection: {e}"));
            }
            Step::Answered(Err(ClientError::TimedOut)) | Step::Late => {
                return stop(AttemptStatus::TimedOut, "the engine did not answer in time");
            }
            Step::Answered(Err(e)) => return stop(AttemptStatus::ConnectionReset, e.to_string()),
            Step::Told(control) => return self.told(control),
        };
        match answer.status.0 {
            200 => Ok(answer),
            // The specification: not accepted, the client is to try again.
            status @ (429 | 503) => Err(Stop::Ended(AttemptOutcome {
                status: AttemptStatus::Rejected,
                reason: format!("the engine turned it away unseen ({status})"),
                load_report: load_of_headers(&answer),
            })),
            status => stop(
                AttemptStatus::ErrorResponse,
                format!("the engine answered with status {status}"),
            ),
        }
    }

    /// Asks for the next answer, again where that fails: it is the same answer.
    async fn poll(&mut self) -> Outcome<Response> {
        let mut failed = 0;
        loop {
            let Some(target) = self.next.clone() else {
                return stop(AttemptStatus::ErrorResponse, "no next answer");
            };
            let request = Request::new(Method::Get, target)
                .with_header(extra::ROUTER, &self.engines.manner.router);
            let why = match self.step(&request, self.engines.manner.poll_within).await {
                Step::Answered(Ok(answer)) => match answer.status.0 {
                    200 => return Ok(answer),
                    404 | 410 => {
                        return stop(
                            AttemptStatus::ConnectionReset,
                            "the engine does not know the statement any more",
                        );
                    }
                    status @ (429 | 502..=504) => {
                        format!("the engine answered a poll with status {status}")
                    }
                    status => {
                        return stop(
                            AttemptStatus::ErrorResponse,
                            format!("the engine answered a poll with status {status}"),
                        );
                    }
                },
                Step::Answered(Err(ClientError::Connect(e))) => {
                    return stop(
                        AttemptStatus::ConnectionReset,
                        format!("the engine is gone: {e}"),
                    );
                }
                Step::Answered(Err(ClientError::Parse(e))) => {
                    return stop(
                        AttemptStatus::ErrorResponse,
                        format!("the engine's answer is no HTTP: {e}"),
                    );
                }
                Step::Answered(Err(e)) => e.to_string(),
                Step::Held(why) => why,
                Step::Late => {
                    return stop(AttemptStatus::TimedOut, "the engine did not finish in time");
                }
                Step::Told(control) => return self.told(control),
            };
            failed += 1;
            if failed == POLLS {
                return stop(AttemptStatus::ConnectionReset, why);
            }
            Timer::after(POLL_PAUSE).await;
        }
    }

    /// One exchange, ended early by the attempt's time or by what it is told.
    /// The send, held back at the last moment where the fleet's rules don't let it go.
    async fn send(&self, request: &Request, within: Duration) -> Step {
        let (a, pool, connect) = (
            self.a,
            &self.engines.pool,
            self.engines.manner.connect_within,
        );
        let guard = || match a.send_by {
            Some(by) if self.report.now() >= by => {
                Err("a repeat would no longer be recognised".into())
            }
            _ => self.report.may_send(a.engine, a.class),
        };
        self.during(async {
            match pool
                .guarded(a.engine, self.addr, request, connect, within, guard)
                .await
            {
                Ok(answer) => Step::Answered(Ok(answer)),
                Err(Unsent::Failed(e)) => Step::Answered(Err(e)),
                Err(Unsent::Held(why)) => Step::Held(why),
            }
        })
        .await
    }

    async fn step(&self, request: &Request, within: Duration) -> Step {
        let (a, pool, connect) = (
            self.a,
            &self.engines.pool,
            self.engines.manner.connect_within,
        );
        let exchange = pool.exchange(a.engine, self.addr, request, connect, within);
        self.during(async { Step::Answered(exchange.await) }).await
    }

    /// An exchange, unless the attempt's time ends it, or an order.
    async fn during(&self, exchange: impl Future<Output = Step>) -> Step {
        let time = async {
            if self.flowing {
                return future::pending().await;
            }
            let left = self.a.deadline.saturating_sub(self.report.now());
            Timer::after(Duration::from_micros(left)).await;
            Step::Late
        };
        let told = async {
            loop {
                match self.control.recv().await {
                    Ok(Control::Fetch) => {} // Only a page that waits has a use for it.
                    Ok(control) => return Step::Told(control),
                    Err(_) => return Step::Told(Control::Release),
                }
            }
        };
        future::or(exchange, future::or(told, time)).await
    }

    fn told<T>(&self, control: Control) -> Outcome<T> {
        match control {
            Control::Withdraw => stop(AttemptStatus::Cancelled, "withdrawn"),
            Control::Release | Control::Fetch => Err(Stop::Released),
        }
    }

    /// Takes an answer in; true after the last one.
    async fn take(&mut self, answer: &Response) -> Outcome<bool> {
        let results: QueryResults = match serde_json::from_slice(&answer.body) {
            Ok(results) => results,
            Err(e) => {
                return stop(
                    AttemptStatus::ErrorResponse,
                    format!("the engine's answer is no QueryResults: {e}"),
                );
            }
        };
        // Danger: an engine that was restarted meanwhile can have another statement under the same URI.
        if *self
            .query
            .borrow_mut()
            .get_or_insert_with(|| results.id.clone())
            != results.id
        {
            return stop(
                AttemptStatus::ConnectionReset,
                "the engine answered for another statement",
            );
        }
        let report = load_of_headers(answer);
        if let Some(error) = results.error {
            let why = format!("{}: {}", error.error_name, error.message);
            if error.error_name == ErrorName::ADMINISTRATIVELY_KILLED {
                // Danger: what may have had its effect is not called harmless before the engine says so.
                let proof = self.proof().await;
                self.report.killed(self.a.id, self.a.number, proof, why);
                return Ok(true);
            }
            if error.error_type == ErrorType::UserError {
                let failure = EngineError {
                    message: error.message,
                    code: error.error_code,
                    name: error.error_name,
                };
                self.report.wrong(self.a.id, self.a.number, failure);
                return Ok(true);
            }
            return Err(Stop::Ended(AttemptOutcome {
                status: AttemptStatus::ErrorResponse,
                reason: why,
                load_report: report,
            }));
        }
        self.next = match results.next_uri.as_deref().map(|uri| self.path_of(uri)) {
            None => None,
            Some(Some(path)) => Some(path),
            Some(None) => {
                return stop(
                    AttemptStatus::ErrorResponse,
                    "the engine's nextUri points elsewhere",
                );
            }
        };
        self.tell_news(answer, &results.stats);
        let rows = results.has_rows();
        if let Some(columns) = results.columns {
            self.columns = Some(columns.into());
        }
        let last = self.next.is_none();
        if !last && !rows {
            return Ok(false);
        }
        self.flowing = true;
        let fields = answer
            .headers
            .iter()
            .filter(|(name, _)| is_session_field(name));
        let page = ResultPage {
            columns: self.columns.clone(),
            rows: results.data.map(Rc::from),
            session_fields: fields.map(|(n, v)| (n.to_owned(), v.to_owned())).collect(),
            update: results.update_type.map(|kind| (kind, results.update_count)),
            is_last: last,
            load_report: report,
            work: work_of(answer),
        };
        self.report.page(self.a.id, self.a.number, page);
        if last {
            return Ok(true);
        }
        match self.control.recv().await {
            Ok(Control::Fetch) => Ok(false),
            Ok(control) => self.told(control),
            Err(_) => Err(Stop::Released),
        }
    }

    /// Tells what an answer says of the attempt: its figures, as the specification has them, and the notes.
    fn tell_news(&self, answer: &Response, stats: &Stats) {
        let known = |v: u64| (v > 0).then_some(v);
        let mut told = Told::default();
        let news = &mut told.news;
        news.work = known(stats.cpu_time_millis).map(|ms| ms.saturating_mul(1000));
        news.done = stats.progress_percentage.map(|p| p / 100.0);
        news.rows = known(stats.processed_rows);
        news.memory_mb = known(stats.peak_memory_bytes).map(|b| b as f64 / 1e6);
        news.spills = stats.spilled_bytes > 0;
        for (name, value) in answer
            .headers
            .get(extra::PROGRESS)
            .into_iter()
            .flat_map(extra::parse_numbers)
        {
            let progress = match name {
                "done" if (0.0..=1.0).contains(&value) => {
                    news.done = Some(value);
                    Progress::Completed(value)
                }
                "spills" if value > 0.0 => {
                    news.spills = true;
                    Progress::Spilling(value)
                }
                "lacks" => {
                    news.blocked_state = Some(BlockedState::Memory);
                    Progress::Blocked
                }
                "waits" => {
                    let holder = answer
                        .headers
                        .get(extra::BLOCKED_BY)
                        .and_then(extra::BlockingStatement::parse);
                    told.holder_class = holder.as_ref().and_then(|h| h.class.map(str::to_owned));
                    let holder = holder.map(|h| Holder {
                        name: h.name.to_owned(),
                        class: None,
                        age: h.age_ms.map(|ms| ms * 1000),
                    });
                    news.blocked_state = Some(BlockedState::Behind(holder));
                    Progress::Blocked
                }
                _ => continue,
            };
            self.report.note(self.a.id, self.a.number, progress);
        }
        if !told.news.is_empty() {
            self.report.told(self.a.id, self.a.number, told);
        }
    }

    /// What the engine says of the effects of what it has ended; asked for again where it can't be reached.
    async fn proof(&self) -> Proof {
        let Some(query) = self.query.borrow().clone() else {
            return Proof::Unknown;
        };
        let manner = &self.engines.manner;
        let request = Request::new(Method::Get, format!("/v1/query/{query}"))
            .with_header(extra::ROUTER, &manner.router);
        for _ in 0..POLLS {
            let pool = &self.engines.pool;
            let asked = pool
                .exchange(
                    self.a.engine,
                    self.addr,
                    &request,
                    manner.connect_within,
                    FAREWELL,
                )
                .await;
            match asked {
                Ok(answer) if answer.status.0 == 200 => {
                    return match answer.headers.get(extra::EFFECTS) {
                        Some("rolled-back") => Proof::RolledBack,
                        Some("committed") => Proof::Committed,
                        _ => Proof::Unknown,
                    };
                }
                Ok(answer) if answer.status.0 < 500 => return Proof::Unknown,
                _ => {
                    Timer::after(POLL_PAUSE).await;
                }
            }
        }
        Proof::Unknown
    }

    /// The path of a URI at this engine; none for one elsewhere: an engine must not send the router about.
    fn path_of(&self, uri: &str) -> Option<String> {
        let path = match uri.strip_prefix("http://") {
            None => uri,
            Some(rest) => {
                let (host, _) = rest.split_once('/')?;
                if host != self.addr.to_string() {
                    return None;
                }
                &rest[host.len()..]
            }
        };
        let fine = path.starts_with('/')
            && path.len() <= 4096
            && path.bytes().all(|b| b.is_ascii_graphic());
        fine.then(|| path.to_owned())
    }

    /// Lets the engine drop what it holds of the statement.
    async fn farewell(&self) {
        let Some(target) = self.next.clone() else {
            return;
        };
        let request = Request::new(Method::Delete, target)
            .with_header(extra::ROUTER, &self.engines.manner.router);
        let pool = &self.engines.pool;
        let _ = pool
            .exchange(self.a.engine, self.addr, &request, FAREWELL, FAREWELL)
            .await;
    }
}

fn work_of(answer: &Response) -> Option<hoptiller_policy::Micros> {
    let ms = extra::find_number(answer.headers.get(extra::COST)?, "work_ms")?;
    (ms > 0.0 && ms < 1e12).then_some((ms * 1000.0) as hoptiller_policy::Micros)
}

/// Fields by which an engine changes a client's session.
fn is_session_field(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    [
        "x-trino-set-",
        "x-trino-clear-",
        "x-trino-added-",
        "x-trino-deallocated-",
        "x-trino-started-",
    ]
    .iter()
    .any(|prefix| name.starts_with(prefix))
}
