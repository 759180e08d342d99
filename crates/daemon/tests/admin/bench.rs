//! A daemon on free ports with a log service beside it, and a client of its administration API.

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

/// The token of team `provoz`.
pub const TOKEN: &str = "try-cyclamen";

/// The token of team `sklad`.
pub const OTHER_TOKEN: &str = "try-another";

/// A daemon under test.
pub struct Bench {
    pub running: RunningDaemon,
    pub log: LogService,
    pub api: Api,
}

/// A client of the daemon's administration API.
#[derive(Clone)]
pub struct Api {
    http: Client<HttpConnector, Full<Bytes>>,
    admin: SocketAddr,
}

impl Deref for Bench {
    type Target = Api;

    fn deref(&self) -> &Api {
        &self.api
    }
}

/// An answer of the administration API.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub body: Value,
}

impl Reply {
    /// The body without what differs from run to run.
    pub fn stable(mut self) -> Value {
        if let Value::Object(body) = &mut self.body {
            body.remove("request_id");
        }
        serde_json::json!({ "status": self.status.as_u16(), "body": self.body })
    }
}

/// Settings of a daemon on free ports.
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
        metrics: None,
        metrics_text: None,
        decisions: None,
        seed: Some(7),
    }
}

impl Bench {
    /// Starts log service and daemon.
    pub async fn start() -> Self {
        Self::start_with(LogOptions::default()).await
    }

    /// Starts a log service with these options, and a daemon.
    pub async fn start_with(options: LogOptions) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let log = LogService::start(free, options).await.expect("a free port");
        let running = start(settings(log.address()), None).await.expect("free ports");
        let api = Api::of(&running).await;
        Self { running, log, api }
    }

    /// Starts a second daemon over the same log.
    pub async fn start_second(&self) -> (RunningDaemon, Api) {
        let mut settings = settings(self.log.address());
        settings.instance = "praha-b-1".parse().expect("a name");
        settings.domain = "praha-b".parse().expect("a name");
        settings.peers = vec![self.running.addresses.peer];
        let running = start(settings, None).await.expect("free ports");
        let api = Api::of(&running).await;
        (running, api)
    }

    /// Stops both.
    pub async fn stop(self) {
        self.running.stop().await;
        self.log.stop().await;
    }
}

impl Api {
    /// A client of a daemon, once that is ready.
    async fn of(running: &RunningDaemon) -> Self {
        let mut changed = running.shared.changed();
        while !running.shared.read(Instance::ready) {
            changed.changed().await.expect("a daemon that runs");
        }
        Self::at(running.addresses.admin)
    }

    /// A client of the daemon whose administration API is at `admin`.
    pub fn at(admin: SocketAddr) -> Self {
        Self { http: Client::builder(TokioExecutor::new()).build_http(), admin }
    }

    /// Sends a request with a token, if one is given.
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

    /// Reads a path.
    pub async fn get(&self, path: &str) -> Reply {
        self.send(Method::GET, path, None, Bytes::new()).await
    }

    /// Publishes a change file under an id.
    pub async fn publish(&self, id: &str, query: &str, text: &str) -> Reply {
        let path = format!("/v1/changes?change_id={id}&{query}");
        self.send(Method::POST, &path, Some(TOKEN), text.to_owned()).await
    }
}
