//! The announcements of an engine to its discovery service.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use hoptiller_audit::unix_micros;
use hoptiller_http::client::Connection;
use hoptiller_http::{Limits, Method, Request};
use hoptiller_statement::discovery::{
    ANNOUNCEMENT_PATH, AnnouncedService, Announcement, ENGINE_SERVICE_TYPE,
};

use super::config::EngineConfig;
use super::state::Engine;

/// Delay between two announcements, and the timeout of each connection attempt and request.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// Announces the engine repeatedly until it crashes. A failed announcement is not retried before the next one is due.
pub(super) async fn run(engine: Rc<Engine>) {
    let discovery = engine.state().config.discovery;
    let Some(discovery) = discovery else { return };
    let request = announcement_request(&announcement(&engine.state().config, engine.addr()));
    while !engine.state().model.has_crashed() {
        let connection = Connection::open(discovery, ANNOUNCE_INTERVAL, Limits::default()).await;
        if let Ok(mut connection) = connection {
            let _ = connection.exchange(&request, ANNOUNCE_INTERVAL).await;
        }
        Timer::after(ANNOUNCE_INTERVAL).await;
    }
}

fn announcement(config: &EngineConfig, addr: SocketAddr) -> Announcement {
    let properties = [
        ("http", format!("http://{addr}")),
        ("kind", config.kind.clone()),
        ("node_version", "stand-in".into()),
        ("coordinator", "false".into()),
    ];
    let id = u128::from(unix_micros()) << 16 | u128::from(addr.port());
    let service = AnnouncedService {
        id: format!("{id:032x}"),
        service_type: ENGINE_SERVICE_TYPE.into(),
        properties: properties
            .map(|(name, value)| (name.to_owned(), value))
            .into(),
    };
    Announcement {
        environment: config.environment.clone(),
        node_id: config.node.clone(),
        pool: "general".into(),
        location: format!("/{}/{}", config.zone, config.node),
        services: vec![service],
    }
}

fn announcement_request(announcement: &Announcement) -> Request {
    let path = format!("{ANNOUNCEMENT_PATH}{}", announcement.node_id);
    let mut request = Request::new(Method::Put, path);
    request.body = serde_json::to_vec(announcement).unwrap_or_default();
    request
        .with_header("Content-Type", "application/json")
        .with_header("Connection", "close")
}
