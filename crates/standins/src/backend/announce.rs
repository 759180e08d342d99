//! Announces a backend server to the daemon beside it, and keeps the announcement renewed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cyclamen_types::{ServerName, ServiceName, VersionName};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde::Serialize;
use tokio::task::JoinSet;

use crate::backend::server::BackendServer;
use crate::caller::Client;

/// Time between two renewals.
const RENEWAL: Duration = Duration::from_secs(2);

/// Pause after an announcement that failed.
const RETRY: Duration = Duration::from_millis(100);

#[derive(Clone, Serialize)]
struct Announcement {
    service: ServiceName,
    version: VersionName,
    slots: u32,
    connections: u32,
    address: SocketAddr,
    draining: bool,
}

/// Keeps one backend server announced until dropped.
#[derive(Debug)]
pub struct Announcer {
    sender: Arc<Sender>,
    renewal: JoinSet<()>,
}

#[derive(Debug)]
struct Sender {
    client: Client,
    admin: SocketAddr,
    name: ServerName,
    body: AnnouncementBody,
}

#[derive(Debug)]
struct AnnouncementBody {
    ready: Bytes,
    draining: Bytes,
}

impl Announcer {
    /// Announces `server` to the daemon whose administration API is at `admin`.
    pub fn start(server: &BackendServer, admin: SocketAddr) -> Self {
        let sender = Arc::new(Sender::new(server, admin));
        let mut renewal = JoinSet::new();
        renewal.spawn(renew(Arc::clone(&sender)));
        Self { sender, renewal }
    }

    /// Says that the server drains: it finishes what it has. Ends the renewal.
    pub async fn drain(&mut self) {
        self.renewal.shutdown().await;
        self.sender.put(self.sender.body.draining.clone()).await;
    }

    /// Withdraws the server. Ends the renewal.
    pub async fn withdraw(&mut self) {
        self.renewal.shutdown().await;
        self.sender.send(Method::DELETE, Bytes::new()).await;
    }
}

impl Sender {
    fn new(server: &BackendServer, admin: SocketAddr) -> Self {
        let options = server.options();
        let ready = Announcement {
            service: options.service.clone(),
            version: options.version.clone(),
            slots: options.slots,
            connections: options.connections,
            address: server.address(),
            draining: false,
        };
        let draining = Announcement { draining: true, ..ready.clone() };
        let encode = |value: &Announcement| serde_json::to_vec(value).unwrap_or_default().into();
        let body = AnnouncementBody { ready: encode(&ready), draining: encode(&draining) };
        Self { client: Client::default(), admin, name: options.name.clone(), body }
    }

    async fn put(&self, body: Bytes) -> bool {
        self.send(Method::PUT, body).await
    }

    async fn send(&self, method: Method, body: Bytes) -> bool {
        let uri = format!("http://{}/v1/servers/{}", self.admin, self.name);
        let req = Request::builder()
            .method(method)
            .uri(uri)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body));
        let Ok(req) = req else {
            return false;
        };
        self.client.status(req).await.is_some_and(|status: StatusCode| status.is_success())
    }
}

async fn renew(sender: Arc<Sender>) {
    loop {
        let announced = sender.put(sender.body.ready.clone()).await;
        let pause = if announced { RENEWAL } else { RETRY };
        tokio::time::sleep(pause).await;
    }
}
