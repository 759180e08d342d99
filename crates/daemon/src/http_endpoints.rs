//! Small HTTP endpoints of the daemon: readiness, announcements and metrics.
//!
//! The platform checks whether the daemon is ready, the local backend server announces itself and
//! leaves, and a monitoring system reads metrics as text.

use std::convert::Infallible;
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cyclamen_platform::announcements::{self, BODY_BYTES, READY_PATH, Said};
use cyclamen_types::ServerName;
use cyclamenmoor::{AnnounceError, Instance};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{info, warn};
use tokio::net::{TcpListener, TcpStream};

use crate::call_metrics::CallMetrics;
use crate::local_backend::LocalBackend;
use crate::shared::SharedInstance;
use crate::store::StoreSync;

/// Time in which a connection has to send the headers of its next request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause after a failed accept, so that a persistent error does not busy-loop.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Longest time that an acknowledgement is held back for what is known of departures, before the start
/// or in the store. A backend server counts on an acknowledgement within a second.
const ACKNOWLEDGE_WITHIN: Duration = Duration::from_millis(600);

/// What a listener serves.
#[derive(Clone)]
enum Endpoint {
    /// Readiness, and announcements of the local backend server.
    Platform(Arc<Announcements>),
    /// Metrics as text.
    Metrics(Arc<CallMetrics>),
}

/// What announcements need.
struct Announcements {
    /// Where departures are kept.
    store: StoreSync,
    /// Whose announcements are believed.
    backend: LocalBackend,
}

/// Serves readiness checks and announcements on `listener` until the task is dropped. The daemon
/// has a listener for each of the two, and both serve both.
pub(crate) async fn serve(
    shared: SharedInstance,
    store: StoreSync,
    backend: LocalBackend,
    listener: TcpListener,
) {
    let announcements = Arc::new(Announcements { store, backend });
    serve_endpoint(shared, Endpoint::Platform(announcements), listener).await;
}

/// Serves metrics on `listener` until the task is dropped.
pub(crate) async fn serve_metrics(
    shared: SharedInstance,
    metrics: Arc<CallMetrics>,
    listener: TcpListener,
) {
    serve_endpoint(shared, Endpoint::Metrics(metrics), listener).await;
}

async fn serve_endpoint(shared: SharedInstance, endpoint: Endpoint, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
            continue;
        };
        tokio::spawn(serve_connection(shared.clone(), endpoint.clone(), stream));
    }
}

async fn serve_connection(shared: SharedInstance, endpoint: Endpoint, stream: TcpStream) {
    let service = service_fn(move |req| {
        let (shared, endpoint) = (shared.clone(), endpoint.clone());
        async move {
            Ok::<_, Infallible>(match endpoint {
                Endpoint::Platform(announcements) => {
                    platform_response(&shared, &announcements, req).await
                }
                Endpoint::Metrics(metrics) => metrics_response(&shared, &metrics),
            })
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEADER_READ_TIMEOUT);
    // A connection error affects only the client, which sees it itself.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

fn metrics_response(shared: &SharedInstance, metrics: &CallMetrics) -> Response<Full<Bytes>> {
    match metrics.encode(&shared.read(Instance::dump)) {
        Ok(text) => Response::new(Full::new(text.into())),
        Err(fault) => {
            warn!("cannot format metrics: {fault}");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

async fn platform_response(
    shared: &SharedInstance,
    announcements: &Announcements,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    if req.uri().path() == READY_PATH {
        return empty_response(match shared.read(|instance| instance.ready()) {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        });
    }
    let (parts, body) = req.into_parts();
    let Ok(body) = Limited::new(body, BODY_BYTES).collect().await else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let query = parts.uri.query().unwrap_or_default();
    match announcements::decode(parts.uri.path(), query, &body.to_bytes()) {
        Some(message) => {
            let departs = departs(&message);
            let status = apply_announcement(shared, &announcements.backend, message);
            match departs {
                true => await_stored_departures(shared, &announcements.store).await,
                false => await_history(shared).await,
            }
            empty_response(status)
        }
        None => empty_response(refuse(shared, &"ignored a request that is no valid announcement")),
    }
}

/// Waits until announcements of ready servers are applied, so that one that is acknowledged is in
/// use; not for long, since they are applied later all the same.
async fn await_history(shared: &SharedInstance) {
    let mut changed = shared.changed();
    let known =
        async { while shared.read(Instance::awaits_history) && changed.changed().await.is_ok() {} };
    // Not known in time: the announcement is held.
    let _ = tokio::time::timeout(ACKNOWLEDGE_WITHIN, known).await;
}

/// Whether a backend server says that it drains or leaves.
fn departs(message: &Said) -> bool {
    match message {
        Said::Heartbeat(announcement) => announcement.draining,
        Said::Leave(..) => true,
    }
}

/// Waits until the store holds all departures that are known here, so that the acknowledgement of one
/// still binds after a restart of the daemon.
async fn await_stored_departures(shared: &SharedInstance, store: &StoreSync) {
    let revision = shared.read(Instance::departures_revision);
    let stored = store.departures_stored(revision);
    if tokio::time::timeout(ACKNOWLEDGE_WITHIN, stored).await.is_err() {
        warn!(
            "the store does not hold yet which backend servers left: until it does, only the other \
             daemons know"
        );
    }
}

/// Counts and logs an announcement that is not used.
fn refuse(shared: &SharedInstance, fault: &dyn Display) -> StatusCode {
    shared.with(|instance, _, _| instance.record_unreadable_entry());
    warn!("{fault}");
    StatusCode::BAD_REQUEST
}

fn apply_announcement(
    shared: &SharedInstance,
    backend: &LocalBackend,
    message: Said,
) -> StatusCode {
    match message {
        Said::Heartbeat(announcement) => {
            if let Err(misfit) = backend.check(&announcement) {
                return refuse(shared, &misfit);
            }
            let applied =
                shared.with(|instance, now, out| instance.announce_server(now, &announcement, out));
            warn_of_long_cold(shared, &announcement.name);
            match applied {
                Ok(()) => StatusCode::OK,
                Err(fault) => refuse(shared, &fault),
            }
        }
        Said::Leave(name, born) => {
            match shared.with(|instance, now, out| instance.withdraw_server(now, &name, born, out))
            {
                Ok(()) => info!("backend server `{name}` announces that it is leaving"),
                // It may have reported itself to an earlier process of this daemon. That it has left
                // is noted, so that reports under way do not bring it back.
                Err(AnnounceError::Unknown(_)) => {
                    info!(
                        "backend server `{name}`, not in use here yet, announces that it is leaving"
                    );
                }
                Err(fault) => return refuse(shared, &fault),
            }
            StatusCode::OK
        }
    }
}

fn warn_of_long_cold(shared: &SharedInstance, server: &ServerName) {
    let cold_for = shared.with(|instance, now, _| instance.take_long_cold(now, server));
    if let Some(cold_for) = cold_for {
        warn!(
            "backend server `{server}` has said for {} s that it is cold and gets few calls: check \
             or replace it",
            cold_for.as_secs()
        );
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
