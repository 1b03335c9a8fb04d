//! Owns a stand-in discovery service: engines announce themselves, routers ask for the list. It can be made
//! stale, or dumb.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hoptiller_audit::{Record, Recorder, unix_micros};
use hoptiller_http::server::{Config, Handler, Reply};
use hoptiller_http::{Method, Request, Response, Spawner};
use hoptiller_statement::discovery::{
    ANNOUNCEMENT_PATH, Announcement, SERVICE_PATH, Service, Services,
};
use hoptiller_statement::extra;

use crate::Running;
use crate::lease::Numbers;

/// How it fails.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiscoveryFaults {
    /// Its list stays as it is.
    pub stale: bool,
    /// It closes every connection.
    pub down: bool,
}

/// What a stand-in discovery service is.
#[derive(Clone)]
pub struct DiscoveryConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The installation.
    pub environment: String,
    /// How long an announcement counts.
    pub keep: Duration,
    /// What it tells whom.
    pub recorder: Recorder,
    /// It refuses what is asked under a lease that is over by what it has seen.
    pub fences: bool,
    /// Counts how often it was asked for its list.
    pub asked: Arc<AtomicU64>,
    /// How it fails; may change while it runs.
    pub faults: Arc<Mutex<DiscoveryFaults>>,
}

impl Default for DiscoveryConfig {
    fn default() -> Self {
        DiscoveryConfig {
            listen: ([127, 0, 0, 1], 0).into(),
            environment: "lettings".into(),
            keep: Duration::from_secs(2),
            recorder: Recorder::default(),
            fences: false,
            asked: Arc::default(),
            faults: Arc::default(),
        }
    }
}

#[derive(Default)]
struct Inner {
    announced: BTreeMap<String, (Announcement, Instant)>,
    frozen: Option<Services>,
    /// What each router was told last.
    told: BTreeMap<String, BTreeSet<String>>,
    leases: Numbers,
}

impl DiscoveryConfig {
    /// Starts it on a thread of its own.
    pub fn start(&self) -> io::Result<Running> {
        let config = self.clone();
        Running::new("discovery", move |spawner| start(config, spawner))
    }

    /// Sets its faults.
    pub fn fail(&self, faults: DiscoveryFaults) {
        if let Ok(mut f) = self.faults.lock() {
            *f = faults;
        }
    }
}

fn start(config: DiscoveryConfig, spawner: Spawner) -> io::Result<SocketAddr> {
    let listener = hoptiller_http::server::bind(config.listen)?;
    let addr = listener.get_ref().local_addr()?;
    let inner = Rc::new(RefCell::new(Inner::default()));
    let handler: Handler = Rc::new(move |request| {
        let reply = config.reply(&mut inner.borrow_mut(), &request);
        Box::pin(async move { reply })
    });
    let own = spawner.clone();
    spawner.spawn(async move {
        hoptiller_http::server::serve(listener, Config::default(), handler, own).await;
    });
    Ok(addr)
}

impl DiscoveryConfig {
    fn reply(&self, inner: &mut Inner, request: &Request) -> Reply {
        let faults = self.faults.lock().map(|f| *f).unwrap_or_default();
        if faults.down {
            return Reply::Close;
        }
        let path = request.path();
        if let Some(node) = path.strip_prefix(ANNOUNCEMENT_PATH) {
            return self.announce(inner, node, request).into();
        }
        if path.starts_with(SERVICE_PATH) && request.method == Method::Get {
            self.asked.fetch_add(1, Ordering::Relaxed);
            if let Some(over) = inner
                .leases
                .look(request, "discovery", self.fences, &self.recorder)
            {
                return over.into();
            }
            let list = self.list(inner, faults.stale);
            if let Some(router) = request.headers.get(extra::ROUTER) {
                self.record(inner, router, &list);
            }
            return Response::json(200, serde_json::to_vec(&list).unwrap_or_default()).into();
        }
        Response::text(404, "nothing here").into()
    }

    fn announce(&self, inner: &mut Inner, node: &str, request: &Request) -> Response {
        match request.method {
            Method::Put => match serde_json::from_slice::<Announcement>(&request.body) {
                Ok(a) if a.node_id == node => {
                    inner.announced.insert(node.to_owned(), (a, Instant::now()));
                    Response::new(202)
                }
                Ok(_) => Response::text(400, "the node id is not the path's"),
                Err(e) => Response::text(400, &format!("announcement: {e}")),
            },
            Method::Delete => {
                inner.announced.remove(node);
                Response::new(204)
            }
            _ => Response::text(405, "PUT or DELETE"),
        }
    }

    fn list(&self, inner: &mut Inner, stale: bool) -> Services {
        if !stale {
            inner.frozen = None;
        }
        if let Some(frozen) = &inner.frozen {
            return frozen.clone();
        }
        inner
            .announced
            .retain(|_, (_, at)| at.elapsed() <= self.keep);
        let services = inner.announced.values().flat_map(|(a, _)| {
            a.services.iter().map(|s| Service {
                id: s.id.clone(),
                node_id: a.node_id.clone(),
                kind: s.kind.clone(),
                pool: a.pool.clone(),
                location: a.location.clone(),
                properties: s.properties.clone(),
            })
        });
        let list = Services {
            environment: self.environment.clone(),
            services: services.collect(),
        };
        if stale {
            inner.frozen = Some(list.clone());
        }
        list
    }

    /// Records what a router learns by this list.
    fn record(&self, inner: &mut Inner, router: &str, list: &Services) {
        let names: BTreeSet<String> = list.services.iter().map(|s| s.node_id.clone()).collect();
        let before = inner
            .told
            .insert(router.to_owned(), names.clone())
            .unwrap_or_default();
        for engine in before.difference(&names).cloned() {
            self.recorder.write(Record::DrainNotified {
                at: unix_micros(),
                engine,
                router: router.to_owned(),
            });
        }
        for engine in names.difference(&before).cloned() {
            self.recorder.write(Record::UpNotified {
                at: unix_micros(),
                engine,
                router: router.to_owned(),
            });
        }
    }
}
