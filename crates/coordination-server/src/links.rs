//! Owns what a keeper sends to the others: batches of messages, one after the other over one connection each, and the
//! state to one that is behind by a list of keepers.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use event_listener::Event as Bell;
use hoptiller_coordination_client::wire;
use hoptiller_http::client::Connection;
use hoptiller_http::{Limits, Method, Request};
use serde::Serialize;

use crate::log::Message;
use crate::peers::{Batch, Install, NotTaken};
use crate::service::{Ended, Keeper};

/// Time for a batch to be taken.
const TAKEN: Duration = Duration::from_secs(1);
/// Pause after a batch that was not taken.
const PAUSE: Duration = Duration::from_millis(50);
/// Pause after one that the other may not take, as the two were told different things.
const UNLIKE: Duration = Duration::from_secs(1);
/// Messages that wait for a keeper; with more all are dropped, which the log bears.
const MOST_QUEUED: usize = 4096;

/// The way to one keeper.
pub(crate) struct Link {
    at: SocketAddr,
    queue: RefCell<VecDeque<Message>>,
    /// Something waits, or nothing more will.
    bell: Bell,
    /// What was queued is lost.
    lost: Cell<bool>,
    /// When a batch was last taken, by the clock of permits.
    pub heard: Cell<Option<u64>>,
    /// The last batch had no answer.
    pub broken: Cell<bool>,
    /// The other is a keeper no more.
    over: Cell<bool>,
}

type Open = Option<Connection<Async<TcpStream>>>;

impl Link {
    pub fn new(at: SocketAddr) -> Rc<Link> {
        Rc::new(Link {
            at,
            queue: RefCell::default(),
            bell: Bell::new(),
            lost: Cell::new(false),
            heard: Cell::new(None),
            broken: Cell::new(false),
            over: Cell::new(false),
        })
    }

    /// A message is to be sent.
    pub fn push(&self, message: Message) {
        let mut queue = self.queue.borrow_mut();
        if queue.len() >= MOST_QUEUED {
            queue.clear();
            self.lost.set(true);
        }
        queue.push_back(message);
        self.bell.notify(1);
    }

    /// What waits is not to be sent.
    pub fn clear(&self) {
        self.queue.borrow_mut().clear();
    }

    /// Nothing more is sent.
    pub fn end(&self) {
        self.over.set(true);
        self.bell.notify(usize::MAX);
    }
}

impl Keeper {
    /// Sends to one keeper, a batch at a time, until it is a keeper no more.
    pub(crate) async fn send_to(self: Rc<Self>, to: u64, link: Rc<Link>) {
        let mut connection: Open = None;
        let mut number = 0;
        let mut broken = false;
        loop {
            let bell = link.bell.listen();
            if link.queue.borrow().is_empty() && !link.over.get() {
                bell.await;
            }
            if self.has_ended() || link.over.get() {
                return;
            }
            let messages: Vec<Message> = link.queue.borrow_mut().drain(..).collect();
            let batch = self.compose(to, number, messages);
            number += 1;
            match self
                .send(link.at, &mut connection, wire::MESSAGES, &batch)
                .await
            {
                Ok(Ok(())) => {
                    link.broken.set(false);
                    link.heard.set(Some(self.clock.now()));
                    if std::mem::take(&mut broken) | link.lost.take() {
                        self.drive(|core, _| core.reconnected(to));
                    }
                }
                Ok(Err(not_taken)) if not_taken.is_final() => {
                    return self.end(Ended::Disowned(format!("keeper {to} says: {not_taken}")));
                }
                Ok(Err(NotTaken::Lists { yours, mine })) => {
                    link.broken.set(false);
                    broken = true;
                    if yours > mine {
                        self.hand_over(to, &link, &mut connection).await;
                    }
                    Timer::after(PAUSE).await;
                }
                Ok(Err(not_taken)) => {
                    tracing::error!(keeper = to, why = %not_taken, "the other keeper was told otherwise");
                    Timer::after(UNLIKE).await;
                }
                Err(why) => {
                    if !broken {
                        tracing::warn!(keeper = to, %why, "the link is broken");
                    }
                    broken = true;
                    // Where the other one answers that it does not reach this one, this way is whole.
                    link.broken.set(matches!(why, Untaken::NoAnswer(_)));
                    connection = None;
                    Timer::after(PAUSE).await;
                }
            }
        }
    }

    /// The other is behind by a list of keepers: it gets the state.
    async fn hand_over(&self, to: u64, link: &Link, connection: &mut Open) {
        let state = self.core.borrow().state();
        tracing::info!(
            keeper = to,
            list = state.members.number,
            "the other keeper is brought up"
        );
        let install = Install {
            fleet: self.config.fleet.clone(),
            to,
            state,
        };
        let sent = self
            .send(link.at, connection, wire::INSTALL, &install)
            .await;
        if let Ok(Err(why)) = sent {
            tracing::warn!(keeper = to, %why, "the state was not taken");
        }
    }

    fn compose(&self, to: u64, number: u64, messages: Vec<Message>) -> Batch {
        let told = self.told.borrow();
        Batch {
            fleet: told.fleet.clone(),
            from: told.me,
            to,
            members: told.members.clone(),
            list: told.list,
            term: told.bounds.term,
            drift: told.bounds.drift,
            life: self.life,
            number,
            disk: self.disk.clone(),
            step: *self.shared.step.borrow(),
            messages,
        }
    }

    /// Sends one call. The inner `Err`: the two were told different things, or this one's disk is refused.
    async fn send(
        &self,
        at: SocketAddr,
        connection: &mut Open,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Result<(), NotTaken>, Untaken> {
        let no_answer = |e: &dyn std::fmt::Display| Untaken::NoAnswer(e.to_string());
        let mut request = Request::new(Method::Post, path);
        request.body = serde_json::to_vec(body).map_err(|e| no_answer(&e))?;
        let request = self.secret.sign_request(request);
        let kept = connection
            .take()
            .filter(|c| c.is_reusable() && !c.is_stale());
        let mut c = match kept {
            Some(kept) => kept,
            None => Connection::open(at, TAKEN, Limits::default())
                .await
                .map_err(|e| no_answer(&e))?,
        };
        let answer = c
            .exchange(&request, TAKEN)
            .await
            .map_err(|e| no_answer(&e))?;
        if self.secret.verify_response(&request, &answer).is_err() {
            return Err(Untaken::Refused(format!(
                "status {}: not the fleet's",
                answer.status.0
            )));
        }
        *connection = Some(c);
        let refused = |why: String| Err(Untaken::Refused(why));
        match answer.status.0 {
            200 => Ok(Ok(())),
            409 => serde_json::from_slice(&answer.body)
                .map(Err)
                .or_else(|e| refused(e.to_string())),
            status => refused(format!("status {status}")),
        }
    }
}

/// Why a batch was not taken, as far as can be told.
enum Untaken {
    /// No answer: nobody knows whether it came.
    NoAnswer(String),
    /// The other keeper answered, and did not take it.
    Refused(String),
}

impl std::fmt::Display for Untaken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Untaken::NoAnswer(why) | Untaken::Refused(why) => write!(f, "{why}"),
        }
    }
}
