//! Owns clients: which request means what, and the one answer that each gets.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Async;
use hoptiller_http::gate::Gate;
use hoptiller_http::server::{self, Config, Handler, Reply};
use hoptiller_http::{Limits, Method, Request, Response, Spawner};
use hoptiller_platform_protocol::request::{self, RequestError};
use hoptiller_platform_protocol::{Catalog, StatementRequest};
use hoptiller_router_core::rounds::Rounds;
use hoptiller_router_core::{Content, Final, Poll, StatementId, Submission, Work};
use hoptiller_runaway::Announced;

use crate::budget::Budget;
use crate::retries::Retries;

/// What is no request gets its answer, or a close, within 3 s of connecting.
const REQUEST_WITHIN: Duration = Duration::from_millis(2_300);
/// Statements are far shorter.
const BODY: u64 = 64 << 10;

/// Ids of requests that are open.
#[derive(Default)]
pub struct OpenIds(RefCell<HashSet<String>>);

impl OpenIds {
    /// How many.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }
}

/// What answers clients: the core at its rounds, the names that clients may use, and what they may take.
pub struct Front {
    /// The core.
    pub rounds: Rc<Rounds>,
    /// Classes and tenants.
    pub names: Rc<Catalog>,
    /// How the router's means are divided.
    pub budget: Budget,
    /// Further attempts are rationed by the requests taken.
    pub retries: Rc<Retries>,
    /// Ids of requests that are open.
    pub open_ids: OpenIds,
    /// What its tasks are started with.
    pub ex: Spawner,
}

/// Answers clients until it is told to stop, and then those who have connected by then.
pub async fn serve(
    front: Rc<Front>,
    listener: Async<TcpListener>,
    gate: Rc<Gate>,
    stop: impl Future<Output = ()>,
) {
    let config = Config {
        limits: Limits {
            head: 8 << 10,
            fields: 40,
            target: 256,
            body: BODY,
        },
        connections: front.budget.clients,
        incoming: front.budget.incoming,
        request_within: REQUEST_WITHIN,
        first_byte: REQUEST_WITHIN,
        idle: Duration::from_secs(6),
        stalled: Duration::from_secs(3),
        linger: Duration::from_millis(5_500),
        watch: true,
    };
    let me = front.clone();
    let handler: Handler = Rc::new(move |request| {
        let me = me.clone();
        Box::pin(async move { Reply::Send(answer(&me, request).await) })
    });
    server::serve_until(listener, config, handler, front.ex.clone(), &gate, stop).await;
}

async fn answer(front: &Rc<Front>, request: Request) -> Response {
    match (&request.method, request.path()) {
        (Method::Get, request::HEALTH_PATH) => Response::text(200, "ready"),
        (Method::Post, path) if path.starts_with(request::STATEMENT_PATH) => {
            match StatementRequest::from_http(request, &front.names) {
                Ok(call) => carry(front, call).await,
                Err(e) => request::invalid_request_response(e),
            }
        }
        _ => Response::text(404, "nothing here"),
    }
}

/// A request while it is open. Dropped before its answer, its client has left.
struct Asking {
    front: Rc<Front>,
    id: StatementId,
    name: String,
    answered: bool,
}

impl Drop for Asking {
    fn drop(&mut self) {
        self.front.open_ids.0.borrow_mut().remove(&self.name);
        self.front.rounds.unlisten(self.id);
        if !self.answered {
            tracing::debug!(id = %self.name, "its client left");
            self.front
                .rounds
                .with(|core, now| core.cancel(now, self.id));
        }
    }
}

async fn carry(front: &Rc<Front>, call: StatementRequest) -> Response {
    if !front.open_ids.0.borrow_mut().insert(call.id.clone()) {
        return request::invalid_request_response(RequestError::DuplicateId);
    }
    let StatementRequest {
        class,
        timeout: patience,
        is_retry: repeat,
        estimated_work: guess,
        memory_mb: want_mb,
        table_group: group,
        ..
    } = call;
    tracing::debug!(id = %call.id, class, patience, repeat, guess, want_mb, group, "taken");
    let name = call.id.clone();
    let submission = Submission {
        class: call.class,
        tenant: call.tenant,
        key: None,
        group: call.table_group,
        guess: call.estimated_work,
        want_mb: call.memory_mb,
        fingerprint: 0,
        label: "".into(),
        announced: Announced::default(),
        repeat: call.is_retry,
        patience: Some(call.timeout),
        work: Rc::new(Work {
            text: call.statement,
            fields: std::iter::once(("Trace-Id".into(), call.id))
                .chain(call.idempotency_key.map(|key| ("Replay-Key".into(), key)))
                .collect(),
        }),
    };
    front.retries.taken(Instant::now());
    let Ok(id) = front.rounds.with(|core, now| core.submit(now, submission)) else {
        front.open_ids.0.borrow_mut().remove(&name);
        return request::rejected_response(None);
    };
    let mut asking = Asking {
        front: front.clone(),
        id,
        name,
        answered: false,
    };
    let mut page = 0;
    loop {
        // The ear is there before the question, so that no news falls between them.
        let news = front.rounds.listen(id);
        match front.rounds.with(|core, now| core.poll(now, id, page)) {
            Poll::Wait => news.await,
            Poll::Answer(answer) => match &answer.content {
                Content::News => page = answer.page + 1,
                Content::Rows(rows) => {
                    asking.answered = true;
                    return request::served_response(
                        rows.rows.as_deref().map_or("[]", |r| r.get()),
                    );
                }
                Content::Final(how) => {
                    asking.answered = true;
                    return last(how);
                }
            },
            Poll::Gone | Poll::Unknown => {
                asking.answered = true;
                return request::failed_response("the request was lost");
            }
        }
    }
}

fn last(how: &Final) -> Response {
    match how {
        Final::Refused { hold_off, .. } | Final::EndedByRule { hold_off, .. } => {
            request::rejected_response(*hold_off)
        }
        other => request::failed_response(other.why()),
    }
}
