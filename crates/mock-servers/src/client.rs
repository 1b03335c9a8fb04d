//! Owns scripted clients: each submits a statement, polls for the rest, and records what it saw. They behave as
//! published clients do, and worse where told.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use hoptiller_audit::{Outcome, Record, Recorder, unix_micros};
use hoptiller_http::client::{ClientError, Connection};
use hoptiller_http::{Limits, Method, Request, Response};
use hoptiller_statement::{QueryResults, STATEMENT_PATH, client::names};

/// A statement to be done.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The client's own number of this submission.
    pub request: u64,
    /// What is to be done; its submissions end in `.N`.
    pub trace: String,
    /// Class tag.
    pub class: String,
    /// Ordering key.
    pub key: Option<String>,
    /// Further tags: `tables=7,size=12`.
    pub tags: String,
    /// Text.
    pub text: String,
    /// Outcome long the client waits.
    pub patience: Duration,
    /// Outcome it behaves.
    pub manner: Manner,
}

/// Outcome a client behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Manner {
    /// Stops asking after so many answers.
    pub leaves_after: Option<u32>,
    /// Ends the statement after so many answers.
    pub ends_after: Option<u32>,
    /// Pause before each poll.
    pub pause: Duration,
    /// Fetches every answer twice, at once, on two connections.
    pub doubles: bool,
    /// Waits so much longer than it says: where the machine may be loaded, what is answered in time is seen late.
    pub lenience: Duration,
}

/// What came of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Came {
    /// All rows, so many.
    Served(u64),
    /// Refused, with the error's name and when to come back.
    Refused(String, Option<u64>),
    /// Failed, with the error's name.
    Failed(String),
    /// Not taken, with the status.
    TurnedAway(u16),
    /// The client left.
    Left,
    /// The client gave up waiting.
    GaveUp,
    /// The connection broke as the statement was submitted.
    Unknown,
}

/// One client, with its connection.
pub struct Client {
    /// The router's name, for the records.
    pub router: String,
    /// Where it is.
    pub addr: SocketAddr,
    /// What it saw.
    pub recorder: Recorder,
    connection: Option<Connection<Async<TcpStream>>>,
    /// The answers to a statement, with the URI that each was fetched from; kept for tests.
    pub answers: Vec<(String, Response)>,
}

/// Limits of what a client reads.
fn limits() -> Limits {
    Limits {
        max_body_bytes: 64 << 20,
        max_head_bytes: 64 << 10,
        ..Limits::default()
    }
}

/// Outcome long a client waits for the answer to one poll before it asks again.
const POLL: Duration = Duration::from_secs(8);
/// Pause before asking again after a connection that broke.
const PAUSE: Duration = Duration::from_millis(100);

impl Client {
    /// A client of a router.
    pub fn new(router: &str, addr: SocketAddr, recorder: Recorder) -> Client {
        Client {
            router: router.into(),
            addr,
            recorder,
            connection: None,
            answers: Vec::new(),
        }
    }

    async fn exchange(
        &mut self,
        request: &Request,
        within: Duration,
    ) -> Result<Response, ClientError> {
        let kept = self
            .connection
            .take()
            .filter(|c| c.is_reusable() && !c.is_stale());
        let mut connection = match kept {
            Some(kept) => kept,
            None => Connection::open(self.addr, Duration::from_secs(2), limits()).await?,
        };
        let answer = connection.exchange(request, within).await?;
        self.connection = Some(connection);
        Ok(answer)
    }

    /// Does a statement to its end.
    pub async fn run(&mut self, ask: &Ask) -> Came {
        let began = Instant::now();
        let request = ask.request;
        self.answers.clear();
        self.recorder.write(Record::Submitted {
            at: unix_micros(),
            request,
            trace: ask.trace.clone(),
            router: self.router.clone(),
            class: ask.class.clone(),
            key: ask.key.clone(),
            deadline: unix_micros() + (ask.patience + ask.manner.lenience).as_micros() as u64,
        });
        let mut tags = format!("class={}", ask.class);
        if let Some(key) = &ask.key {
            tags.push_str(&format!(",key={key}"));
        }
        if !ask.tags.is_empty() {
            tags.push_str(&format!(",{}", ask.tags));
        }
        let mut post = Request::new(Method::Post, STATEMENT_PATH)
            .with_header(names::USER, "scripted")
            .with_header(names::CLIENT_TAGS, &tags)
            .with_header(names::TRACE_TOKEN, &ask.trace)
            .with_header(
                names::SESSION,
                &format!(
                    "{}={}ms",
                    names::MAX_RUN_TIME_PROPERTY,
                    ask.patience.as_millis()
                ),
            );
        post.body = ask.text.clone().into_bytes();
        let answer = match self.exchange(&post, ask.patience).await {
            Ok(answer) => answer,
            Err(ClientError::Connect(_)) => {
                self.recorder.write(Record::Rejected {
                    at: unix_micros(),
                    request,
                    status: 0,
                });
                return Came::TurnedAway(0);
            }
            Err(_) => {
                self.recorder.write(Record::AdmissionUnknown {
                    at: unix_micros(),
                    request,
                });
                return Came::Unknown;
            }
        };
        if answer.status.0 != 200 {
            let status = answer.status.0;
            self.recorder.write(Record::Rejected {
                at: unix_micros(),
                request,
                status,
            });
            return Came::TurnedAway(status);
        }
        self.recorder.write(Record::Admitted {
            at: unix_micros(),
            request,
        });
        self.follow(ask, answer, began).await
    }

    async fn follow(&mut self, ask: &Ask, first: Response, began: Instant) -> Came {
        let request = ask.request;
        let (mut rows, mut answers) = (0, 0);
        let (mut answer, mut from) = (first, STATEMENT_PATH.to_owned());
        loop {
            answers += 1;
            self.answers.push((from.clone(), answer.clone()));
            let Ok(results) = serde_json::from_slice::<QueryResults>(&answer.body) else {
                return self.ended(request, Outcome::Failed, Some("NO_RESULTS".into()));
            };
            if let Some(data) = &results.data {
                let n = serde_json::from_str::<Vec<serde_json::Value>>(data.get())
                    .map_or(0, |r| r.len() as u64);
                rows += n;
                self.recorder.write(Record::RowsReceived {
                    at: unix_micros(),
                    request,
                    rows: n,
                });
            }
            let Some(next) = results.next_uri else {
                let Some(error) = results.error else {
                    self.ended(request, Outcome::Served, None);
                    return Came::Served(rows);
                };
                let after = answer
                    .headers
                    .get("retry-after")
                    .and_then(|v| v.parse().ok());
                let refused = hoptiller_statement::ErrorName::ALL
                    .iter()
                    .any(|n| n.is_retryable() && n.name() == error.error_name);
                let how = if refused {
                    Outcome::Refused
                } else {
                    Outcome::Failed
                };
                self.ended(request, how, Some(error.error_name.clone()));
                return match how {
                    Outcome::Refused => Came::Refused(error.error_name, after),
                    _ => Came::Failed(error.error_name),
                };
            };
            if ask.manner.leaves_after.is_some_and(|n| answers >= n) {
                self.recorder.write(Record::Cancelled {
                    at: unix_micros(),
                    request,
                });
                return Came::Left;
            }
            let path = next
                .strip_prefix("http://")
                .and_then(|r| r.find('/').map(|at| r[at..].to_owned()));
            let path = path.unwrap_or(next);
            if ask.manner.ends_after.is_some_and(|n| answers >= n) {
                let _ = self
                    .exchange(&Request::new(Method::Delete, path), POLL)
                    .await;
                self.recorder.write(Record::Cancelled {
                    at: unix_micros(),
                    request,
                });
                return Came::Left;
            }
            if !ask.manner.pause.is_zero() {
                Timer::after(ask.manner.pause).await;
            }
            from.clone_from(&path);
            match self.poll(ask, &path, began, rows > 0).await {
                Ok(got) => answer = got,
                Err(came) => return came,
            }
        }
    }

    /// Asks until there is an answer, through connections that break, as long as the client waits.
    async fn poll(
        &mut self,
        ask: &Ask,
        path: &str,
        began: Instant,
        reading: bool,
    ) -> Result<Response, Came> {
        let poll = Request::new(Method::Get, path);
        loop {
            // One who reads rows already goes on; the wait was for their beginning.
            if !reading && began.elapsed() > ask.patience + ask.manner.lenience {
                self.recorder.write(Record::TimedOut {
                    at: unix_micros(),
                    request: ask.request,
                });
                return Err(Came::GaveUp);
            }
            if began.elapsed() > ask.patience + Duration::from_secs(60) {
                self.recorder.write(Record::TimedOut {
                    at: unix_micros(),
                    request: ask.request,
                });
                return Err(Came::GaveUp);
            }
            let got = if ask.manner.doubles {
                self.twice(ask, &poll).await
            } else {
                self.exchange(&poll, POLL).await
            };
            match got {
                Ok(answer) if answer.status.0 == 200 => return Ok(answer),
                Ok(answer) if matches!(answer.status.0, 404 | 410) => {
                    self.recorder.write(Record::Answered {
                        at: unix_micros(),
                        request: ask.request,
                        outcome: Outcome::Failed,
                        error: Some(format!("HTTP {}", answer.status.0)),
                    });
                    return Err(Came::Failed(format!("HTTP {}", answer.status.0)));
                }
                _ => {
                    Timer::after(PAUSE).await;
                }
            }
        }
    }

    /// The same poll on two connections at once: both must give the same.
    async fn twice(&mut self, ask: &Ask, poll: &Request) -> Result<Response, ClientError> {
        let addr = self.addr;
        let other = async move {
            let mut connection = Connection::open(addr, Duration::from_secs(2), limits()).await?;
            connection.exchange(poll, POLL).await
        };
        let (one, two) = futures_lite::future::zip(self.exchange(poll, POLL), other).await;
        let (one, two) = (one?, two?);
        if one.status == two.status && one.body != two.body {
            self.recorder.write(Record::FinalAnswerChanged {
                at: unix_micros(),
                request: ask.request,
            });
        }
        Ok(one)
    }

    fn ended(&self, request: u64, how: Outcome, error: Option<String>) -> Came {
        self.recorder.write(Record::Answered {
            at: unix_micros(),
            request,
            outcome: how,
            error: error.clone(),
        });
        Came::Failed(error.unwrap_or_default())
    }

    /// Fetches a path as it is, for tests.
    pub async fn get(&mut self, path: &str) -> Result<Response, ClientError> {
        self.exchange(&Request::new(Method::Get, path), POLL).await
    }
}
