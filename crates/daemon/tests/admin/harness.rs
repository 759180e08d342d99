//! Starts a daemon and a log service on free ports, and sends requests to the administration API.

use std::net::SocketAddr;
use std::ops::Deref;

use bytes::Bytes;
use cyclamen_daemon::{LimitSettings, OperatorToken, RunningDaemon, Settings, TokenHash, start};
use cyclamen_membership::{Addresses, MeshKey};
use cyclamen_standins::{LogOptions, LogService};
use cyclamenmoor::Instance;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// A valid token of team `provoz`.
pub const TOKEN: &str = "try-cyclamen";

/// A valid token of team `sklad`.
pub const OTHER_TOKEN: &str = "try-another";

/// A daemon under test, the log service that it reads, and a client of the daemon.
pub struct Harness {
    pub running: RunningDaemon,
    pub log: LogService,
    pub api: Api,
}

/// A client of a daemon's administration API.
#[derive(Clone)]
pub struct Api {
    http: Client<HttpConnector, Full<Bytes>>,
    admin: SocketAddr,
}

impl Deref for Harness {
    type Target = Api;

    fn deref(&self) -> &Api {
        &self.api
    }
}

/// An answer of the administration API; a body that is not JSON is null.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub body: Value,
}

impl Reply {
    /// The status and the body, without the request id, which differs from run to run.
    pub fn stable(mut self) -> Value {
        if let Value::Object(body) = &mut self.body {
            body.remove("request_id");
        }
        serde_json::json!({ "status": self.status.as_u16(), "body": self.body })
    }
}

/// Settings of a daemon on free ports that reads its configuration from `log_service`.
pub fn settings(log_service: SocketAddr) -> Settings {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let token = |team: &str, token: &str| OperatorToken {
        team: team.parse().expect("a name"),
        hash: TokenHash::of(token),
    };
    Settings {
        instance: "praha-a-1".parse().expect("a name"),
        domain: "praha-a".parse().expect("a name"),
        region: "cz-stred".parse().expect("a name"),
        labels: Default::default(),
        listen: Addresses { calls: free, peer: free, admin: free },
        peers: Vec::new(),
        log_service,
        platform: None,
        mesh_key: MeshKey([7; 32]),
        tokens: vec![token("provoz", TOKEN), token("sklad", OTHER_TOKEN)],
        limits: LimitSettings::default(),
        statsd: None,
        metrics_listen: None,
        decision_log: None,
        seed: Some(7),
    }
}

impl Harness {
    /// Starts a log service with default options, and a daemon; returns once the daemon is ready.
    pub async fn start() -> Self {
        Self::start_with(LogOptions::default()).await
    }

    /// Starts a log service with these options, and a daemon; returns once the daemon is ready.
    pub async fn start_with(options: LogOptions) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let log = LogService::start(free, options).await.expect("a free port");
        let running = start(settings(log.address()), None).await.expect("free ports");
        let api = Api::when_ready(&running).await;
        Self { running, log, api }
    }

    /// Starts a second daemon that reads the same log, with the first one as its peer.
    pub async fn start_second(&self) -> (RunningDaemon, Api) {
        let mut settings = settings(self.log.address());
        settings.instance = "praha-b-1".parse().expect("a name");
        settings.domain = "praha-b".parse().expect("a name");
        settings.peers = vec![self.running.addresses.peer];
        let running = start(settings, None).await.expect("free ports");
        let api = Api::when_ready(&running).await;
        (running, api)
    }

    /// Stops the daemon, then the log service.
    pub async fn stop(self) {
        self.running.stop().await;
        self.log.stop().await;
    }
}

impl Api {
    /// Waits until a daemon is ready, and returns a client of it.
    async fn when_ready(running: &RunningDaemon) -> Self {
        let mut changed = running.shared.changed();
        while !running.shared.read(Instance::ready) {
            changed.changed().await.expect("a daemon that runs");
        }
        Self::at(running.addresses.admin)
    }

    /// A client of the daemon whose administration API listens on `admin`.
    pub fn at(admin: SocketAddr) -> Self {
        Self { http: Client::builder(TokioExecutor::new()).build_http(), admin }
    }

    /// Sends a request, with the bearer token if one is given.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        token: Option<&str>,
        body: impl Into<Bytes>,
    ) -> Reply {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.admin))
            .header(http::header::CONTENT_TYPE, "application/json");
        if let Some(token) = token {
            req = req.header(http::header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let req = req.body(Full::new(body.into())).expect("a request");
        let response = self.http.request(req).await.expect("an answer");
        let status = response.status();
        let bytes = response.into_body().collect().await.expect("a body").to_bytes();
        Reply { status, body: serde_json::from_slice(&bytes).unwrap_or_default() }
    }

    /// Sends a GET request without a token.
    pub async fn get(&self, path: &str) -> Reply {
        self.send(Method::GET, path, None, Bytes::new()).await
    }

    /// Publishes a change file under the change id `id`, with [`TOKEN`] and further query
    /// parameters.
    pub async fn publish(&self, id: &str, query: &str, text: &str) -> Reply {
        let path = format!("/v1/changes?change_id={id}&{query}");
        self.send(Method::POST, &path, Some(TOKEN), text.to_owned()).await
    }
}
