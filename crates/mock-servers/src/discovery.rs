//! A mock discovery service: engines announce themselves to it, and routers read its list of them. Injected faults make
//! the list stale, or make the service close all connections.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::Timer;
use hoptiller_audit::{Record, Recorder, unix_micros};
use hoptiller_http::server::{Config, Handler, Reply};
use hoptiller_http::{Method, Request, Response, Spawner};
use hoptiller_statement::discovery::{
    ANNOUNCEMENT_PATH, Announcement, SERVICE_PATH, Service, Services,
};
use hoptiller_statement::extra;

use crate::fencing::FencingTokens;
use crate::server_thread::ServerThread;

/// The name of the service in the records of leased requests.
const RESOURCE: &str = "discovery";

/// The faults of a mock discovery service.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiscoveryFaults {
    /// Whether its list is no longer updated.
    pub stale: bool,
    /// Whether it closes every connection without a response.
    pub down: bool,
    /// The time that it takes to respond to a request for its list.
    pub list_delay: Duration,
}

/// The configuration of a mock discovery service.
#[derive(Clone)]
pub struct DiscoveryConfig {
    /// The address to listen on. Port 0 selects a free port.
    pub listen: SocketAddr,
    /// The environment stated in its list.
    pub environment: String,
    /// The time for which an announcement is valid.
    pub announcement_ttl: Duration,
    /// Records the engines that routers newly find or no longer find in the list, and leased requests.
    pub recorder: Recorder,
    /// Whether it rejects requests whose lease has a lower fencing token than one seen before for the same shard.
    pub enforces_fencing: bool,
    /// Number of requests for its list.
    pub list_requests: Arc<AtomicU64>,
    /// Its faults, which [`DiscoveryConfig::inject_faults`] sets even while it runs.
    pub faults: Arc<Mutex<DiscoveryFaults>>,
}

impl Default for DiscoveryConfig {
    fn default() -> Self {
        DiscoveryConfig {
            listen: ([127, 0, 0, 1], 0).into(),
            environment: "lettings".into(),
            announcement_ttl: Duration::from_secs(2),
            recorder: Recorder::default(),
            enforces_fencing: false,
            list_requests: Arc::default(),
            faults: Arc::default(),
        }
    }
}

impl DiscoveryConfig {
    /// Starts the service on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't listen, or the thread can't be started.
    pub fn start(&self) -> io::Result<ServerThread> {
        let config = self.clone();
        ServerThread::spawn("discovery", move |spawner| start(config, &spawner))
    }

    /// Sets the faults of the service. This takes effect immediately if it is already running.
    pub fn inject_faults(&self, faults: DiscoveryFaults) {
        if let Ok(mut current) = self.faults.lock() {
            *current = faults;
        }
    }
}

fn start(config: DiscoveryConfig, spawner: &Spawner) -> io::Result<SocketAddr> {
    let listener = hoptiller_http::server::bind(config.listen)?;
    let addr = listener.get_ref().local_addr()?;
    let discovery = RefCell::new(Discovery::new(config));
    let handler: Handler = Rc::new(move |request, _| {
        let reply = discovery.borrow_mut().respond(&request);
        let delay = discovery.borrow().response_delay(&request);
        Box::pin(async move {
            if !delay.is_zero() {
                Timer::after(delay).await;
            }
            reply
        })
    });
    let server_spawner = spawner.clone();
    spawner.spawn(async move {
        let config = Config::default();
        hoptiller_http::server::serve(listener, config, handler, server_spawner).await;
    });
    Ok(addr)
}

struct ReceivedAnnouncement {
    announcement: Announcement,
    received_at: Instant,
}

struct Discovery {
    config: DiscoveryConfig,
    /// The latest announcement of each engine, by node id.
    announcements: BTreeMap<String, ReceivedAnnouncement>,
    /// The list returned to the first request after [`DiscoveryFaults::stale`] was set, or `None` while the list is not
    /// stale.
    stale_list: Option<Services>,
    /// The node ids in the list that each router last read, by router.
    node_ids_read: BTreeMap<String, BTreeSet<String>>,
    fencing_tokens: FencingTokens,
}

impl Discovery {
    fn new(config: DiscoveryConfig) -> Self {
        Self {
            config,
            announcements: BTreeMap::new(),
            stale_list: None,
            node_ids_read: BTreeMap::new(),
            fencing_tokens: FencingTokens::default(),
        }
    }

    fn faults(&self) -> DiscoveryFaults {
        self.config.faults.lock().map(|f| *f).unwrap_or_default()
    }

    fn response_delay(&self, request: &Request) -> Duration {
        if request.path().starts_with(SERVICE_PATH) {
            self.faults().list_delay
        } else {
            Duration::ZERO
        }
    }

    fn respond(&mut self, request: &Request) -> Reply {
        let faults = self.faults();
        if faults.down {
            return Reply::Close;
        }
        let path = request.path();
        if let Some(node) = path.strip_prefix(ANNOUNCEMENT_PATH) {
            return self.receive_announcement(node, request).into();
        }
        if path.starts_with(SERVICE_PATH) && request.method == Method::Get {
            return self.respond_with_list(request, faults.stale).into();
        }
        Response::text(404, "nothing here").into()
    }

    fn receive_announcement(&mut self, node: &str, request: &Request) -> Response {
        match request.method {
            Method::Put => self.put_announcement(node, &request.body),
            Method::Delete => {
                self.announcements.remove(node);
                Response::new(204)
            }
            _ => Response::text(405, "PUT or DELETE"),
        }
    }

    fn put_announcement(&mut self, node: &str, body: &[u8]) -> Response {
        let announcement = match serde_json::from_slice::<Announcement>(body) {
            Ok(announcement) => announcement,
            Err(error) => return Response::text(400, &format!("announcement: {error}")),
        };
        if announcement.node_id != node {
            return Response::text(400, "the node id is not the path's");
        }
        let received = ReceivedAnnouncement {
            announcement,
            received_at: Instant::now(),
        };
        self.announcements.insert(node.to_owned(), received);
        Response::new(202)
    }

    fn respond_with_list(&mut self, request: &Request, is_stale: bool) -> Response {
        self.config.list_requests.fetch_add(1, Ordering::Relaxed);
        let observed = self.fencing_tokens.observe(
            request,
            RESOURCE,
            self.config.enforces_fencing,
            &self.config.recorder,
        );
        if let Err(error) = observed {
            return error.into();
        }
        let list = self.current_list(is_stale);
        if let Some(router) = request.headers.get(extra::ROUTER) {
            self.record_read(router, &list);
        }
        Response::json(200, serde_json::to_vec(&list).unwrap_or_default())
    }

    /// Returns the list of the engines whose announcements are valid. While the list is stale, returns what the first
    /// request since then got.
    fn current_list(&mut self, is_stale: bool) -> Services {
        if !is_stale {
            self.stale_list = None;
        }
        if let Some(stale_list) = &self.stale_list {
            return stale_list.clone();
        }
        let ttl = self.config.announcement_ttl;
        self.announcements
            .retain(|_, received| received.received_at.elapsed() <= ttl);
        let list = Services {
            environment: self.config.environment.clone(),
            services: self
                .announcements
                .values()
                .flat_map(listed_services)
                .collect(),
        };
        if is_stale {
            self.stale_list = Some(list.clone());
        }
        list
    }

    /// Records the engines that are in the list but were not in the list that the router read before, and those that no
    /// longer are in it.
    fn record_read(&mut self, router: &str, list: &Services) {
        let nodes: BTreeSet<String> = list.services.iter().map(|s| s.node_id.clone()).collect();
        let before = self.node_ids_read.insert(router.to_owned(), nodes.clone());
        let before = before.unwrap_or_default();
        for engine in before.difference(&nodes).cloned() {
            self.config.recorder.write(Record::DrainNotified {
                at: unix_micros(),
                engine,
                router: router.to_owned(),
            });
        }
        for engine in nodes.difference(&before).cloned() {
            self.config.recorder.write(Record::UpNotified {
                at: unix_micros(),
                engine,
                router: router.to_owned(),
            });
        }
    }
}

/// Converts the services of an announcement to their form in the list.
fn listed_services(received: &ReceivedAnnouncement) -> impl Iterator<Item = Service> + '_ {
    let announcement = &received.announcement;
    announcement.services.iter().map(|service| Service {
        id: service.id.clone(),
        node_id: announcement.node_id.clone(),
        service_type: service.service_type.clone(),
        pool: announcement.pool.clone(),
        location: announcement.location.clone(),
        properties: service.properties.clone(),
    })
}
