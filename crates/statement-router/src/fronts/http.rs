//! Owns the statement API over HTTP: which request means what, and how long a poll waits.

use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::SystemTime;

use async_io::Async;
use futures_lite::future;
use hoptiller_coordination::Decision;
use hoptiller_http::server::{Config, Handler, Reply};
use hoptiller_http::{Limits, Method, Request, Response};
use hoptiller_runaway::Announced;
use hoptiller_statement::{ClientHeaders, PageToken, QueryId, STATEMENT_PATH};

use super::render;
use crate::desk::Desk;
use hoptiller_router_core::{
    EngineStatement, PollOutcome, StatementId, Submission, SubmitError, group_of,
};

/// What else is answered, by path: metrics, for one.
pub type Extra = Rc<dyn Fn(&str) -> Option<Response>>;

/// Answers clients for ever.
pub async fn serve(desk: Rc<Desk>, listener: Async<TcpListener>, extra: Extra) -> io::Result<()> {
    let settings = desk.settings();
    let l = &settings.limits;
    let config = Config {
        limits: Limits {
            max_body_bytes: l.statement_bytes,
            ..Limits::default()
        },
        max_connections: l.connections,
        max_incoming_bytes: l.incoming_bytes,
        ..Config::default()
    };
    let ex = desk.ex.clone();
    let me = desk.clone();
    let handler: Handler = Rc::new(move |request| {
        let (me, extra) = (me.clone(), extra.clone());
        Box::pin(async move { Reply::Send(answer(&me, request, &extra).await) })
    });
    hoptiller_http::server::serve(listener, config, handler, ex).await;
    Ok(())
}

async fn answer(desk: &Rc<Desk>, request: Request, extra: &Extra) -> Response {
    let path = request.path();
    if path == STATEMENT_PATH {
        return match request.method {
            Method::Post => submit(desk, &request),
            _ => not_allowed("POST"),
        };
    }
    if path.starts_with("/v1/statement/") {
        let Ok(token) = desk.key.parse_page_path(path) else {
            return Response::text(404, "no such statement");
        };
        let base = base(desk, &request);
        return match request.method {
            Method::Get => poll(desk, &token, &base).await,
            Method::Delete => cancel(desk, &token),
            _ => not_allowed("GET, DELETE"),
        };
    }
    if path.starts_with("/v1/query/") {
        return match (desk.key.parse_query_path(path), &request.method) {
            (Ok(id), Method::Get) => course(desk, &id),
            (Ok(_), _) => not_allowed("GET"),
            (Err(_), _) => Response::text(404, "no such statement"),
        };
    }
    match (path, &request.method) {
        ("/v1/info", Method::Get) => render::info(desk),
        ("/v1/info/state", Method::Get) => Response::json(
            200,
            if desk.ending.get() {
                "\"SHUTTING_DOWN\""
            } else {
                "\"ACTIVE\""
            },
        ),
        (_, Method::Get) => match extra(path) {
            Some(response) => response,
            None => Response::text(404, "nothing here; statements go to POST /v1/statement"),
        },
        _ => Response::text(404, "nothing here; statements go to POST /v1/statement"),
    }
}

fn not_allowed(allowed: &str) -> Response {
    Response::text(405, "method not allowed here").with_header("Allow", allowed)
}

/// Where the client reaches this router: by its own words where they are sane.
fn base(desk: &Desk, request: &Request) -> String {
    let host = request.headers.get("host").unwrap_or_default();
    let sane = |b: u8| b.is_ascii_alphanumeric() || b".-:[]_".contains(&b);
    match !host.is_empty() && host.len() <= 255 && host.bytes().all(sane) {
        true => format!("http://{host}"),
        false => format!("http://{}", desk.settings().router.listen),
    }
}

fn submit(desk: &Rc<Desk>, request: &Request) -> Response {
    let hold_off = desk.settings().limits.hold_off;
    let (submission, by_default) = match read(desk, request) {
        Ok(wanted) => wanted,
        Err(what) => return Response::text(400, &what),
    };
    // Danger: what is taken under rules that the fleet has left would be kept by them. Nothing is owed for it yet.
    if let Err(what) = may_take(desk, submission.class, by_default) {
        return Response::text(503, what).with_header("Retry-After", &render::seconds(hold_off));
    }
    match desk.with_core(|core, now| core.submit(now, submission)) {
        Ok(id) => {
            let Some(first) = desk.with_core(|core, now| match core.poll(now, id, 0) {
                PollOutcome::Response(first) => Some(first),
                _ => None,
            }) else {
                return Response::text(500, "the statement was lost");
            };
            let id = QueryId::new(SystemTime::now(), id, &desk.life);
            render::answer(desk, &id, &first, &base(desk, request))
        }
        Err(SubmitError::TableFull) => {
            Response::text(429, "too many statements are open; come back later")
                .with_header("Retry-After", &render::seconds(hold_off))
        }
        Err(SubmitError::ShuttingDown) => {
            Response::text(503, "this router is ending; come back later")
                .with_header("Retry-After", &render::seconds(hold_off))
        }
    }
}

/// Whether the fleet's rules let a statement be taken now.
fn may_take(desk: &Desk, class: usize, by_default: bool) -> Result<(), &'static str> {
    let Some(agreed) = &desk.agreed else {
        return Ok(());
    };
    if by_default && !agreed.has_default() {
        return Err(
            "the fleet's rules name no class for statements that name none; come back later",
        );
    }
    match agreed.verdict(&desk.settings().classes[class].name) {
        Decision::Reject => {
            Err("this router may not take that class now; come back later, or go to another")
        }
        Decision::Allow { .. } | Decision::AllowInDoubt { .. } => Ok(()),
    }
}

/// What a client wants, and whether it leaves the class to us; or what is wrong with it.
fn read(desk: &Desk, request: &Request) -> Result<(Submission, bool), String> {
    let settings = desk.settings();
    let headers = ClientHeaders::parse(request.headers.iter()).map_err(|e| e.to_string())?;
    let text = String::from_utf8(request.body.clone())
        .map_err(|_| "the statement is not UTF-8".to_owned())?;
    if text.trim().is_empty() {
        return Err("the statement is empty".into());
    }
    let named = match &headers.class {
        Some(name) => Some(settings.class(name).ok_or_else(|| {
            let known: Vec<&str> = settings.classes.iter().map(|c| c.name.as_str()).collect();
            format!(
                "X-Trino-Client-Tags: class {name:?} is none of {}",
                known.join(", ")
            )
        })?),
        None => headers
            .source
            .as_deref()
            .and_then(|source| settings.class(source)),
    };
    let class = named.unwrap_or(settings.default_class);
    let kind = hoptiller_sql::normalize(&text, hoptiller_sql::Dialect::STANDARD);
    let announced = Announced {
        size: headers.size.unwrap_or(kind.size),
        estimate: headers.estimated_work.map(|e| e.as_micros() as u64),
    };
    let passed = request.headers.iter().filter(|(name, _)| {
        name.len() > 8 && name.as_bytes()[..8].eq_ignore_ascii_case(b"x-trino-")
    });
    let submission = Submission {
        class,
        tenant: headers
            .tenant
            .and_then(|t| settings.tenants.iter().position(|(name, _)| *name == t)),
        ordering_key: headers.ordering_key,
        group: headers.table_group.as_deref().map(group_of),
        estimated_work: None,
        estimated_memory_mb: 0.0,
        fingerprint: kind.fingerprint.0,
        label: kind.label.into(),
        announced,
        is_retry: headers.is_retry,
        timeout: headers.timeout.map(|p| p.as_micros() as u64),
        work: Rc::new(EngineStatement {
            text,
            fields: passed.map(|(n, v)| (n.to_owned(), v.to_owned())).collect(),
        }),
    };
    Ok((submission, named.is_none()))
}

async fn poll(desk: &Rc<Desk>, token: &PageToken, base: &str) -> Response {
    if token.id.incarnation() != desk.life {
        return render::earlier_life(desk, token, base);
    }
    let id: StatementId = token.id.number();
    let mut found = desk.with_core(|core, now| core.poll(now, id, token.page));
    if matches!(found, PollOutcome::Pending) {
        desk.with_core(|core, now| core.add_waiter(now, id));
        found = wait(desk, id, token.page).await;
        desk.with_core(|core, now| core.remove_waiter(now, id));
        desk.unlisten(id);
    }
    match found {
        PollOutcome::Response(answer) => render::answer(desk, &token.id, &answer, base),
        PollOutcome::Gone => Response::text(
            410,
            "that answer was given; the one after it, or the end, is known",
        ),
        PollOutcome::Pending | PollOutcome::Unknown => Response::text(404, "no such answer"),
    }
}

/// Waits for news as long as a poll waits.
async fn wait(desk: &Rc<Desk>, id: StatementId, page: u64) -> PollOutcome {
    let mut time = desk.timer.sleep(desk.settings().limits.long_poll);
    loop {
        // The ear is there before the question, so that no news falls between them.
        let news = desk.listen(id);
        match desk.with_core(|core, now| core.poll(now, id, page)) {
            PollOutcome::Pending => {}
            found => return found,
        }
        let timed_out = future::or(
            async {
                news.await;
                false
            },
            async {
                (&mut time).await;
                true
            },
        )
        .await;
        if timed_out {
            return desk.with_core(|core, now| core.poll_now(now, id, page));
        }
    }
}

fn cancel(desk: &Rc<Desk>, token: &PageToken) -> Response {
    if token.id.incarnation() == desk.life {
        desk.with_core(|core, now| core.cancel(now, token.id.number()));
    }
    Response::new(204)
}

fn course(desk: &Rc<Desk>, id: &QueryId) -> Response {
    if id.incarnation() != desk.life {
        return Response::text(410, "an earlier life of this router had that statement");
    }
    match desk.with_core(|core, now| core.history(now, id.number())) {
        Some(course) => render::course(desk, id, &course),
        None => Response::text(
            410,
            "that statement is over, and its course is not kept any more",
        ),
    }
}
