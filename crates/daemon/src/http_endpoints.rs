//! Small HTTP endpoints of the daemon: readiness, announcements and metrics.
//!
//! The platform checks whether the daemon is ready, the local backend server announces itself and
//! leaves, and a monitoring system reads metrics as text.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cyclamen_platform::announcements::{self, BODY_BYTES, READY_PATH, Said};
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
use crate::shared::SharedInstance;

/// Time in which a connection has to send the headers of its next request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause after a failed accept, so that a persistent error does not busy-loop.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// What a listener serves.
#[derive(Clone)]
enum Endpoint {
    /// Readiness and announcements.
    Platform,
    /// Metrics as text.
    Metrics(Arc<CallMetrics>),
}

/// Serves readiness checks and announcements on `listener` until the task is dropped. The daemon
/// has a listener for each of the two, and both serve both.
pub(crate) async fn serve(shared: SharedInstance, listener: TcpListener) {
    serve_endpoint(shared, Endpoint::Platform, listener).await;
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
                Endpoint::Platform => platform_response(&shared, req).await,
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
        Some(message) => empty_response(apply_announcement(shared, message)),
        None => {
            warn!("ignored a request that is not a valid announcement");
            empty_response(StatusCode::BAD_REQUEST)
        }
    }
}

fn apply_announcement(shared: &SharedInstance, message: Said) -> StatusCode {
    match message {
        Said::Heartbeat(announcement) => {
            let applied =
                shared.with(|instance, now, out| instance.announce_server(now, &announcement, out));
            match applied {
                Ok(()) => StatusCode::OK,
                Err(fault) => {
                    warn!("{fault}");
                    StatusCode::BAD_REQUEST
                }
            }
        }
        Said::Leave(name, born) => {
            match shared.with(|instance, now, out| instance.withdraw_server(now, &name, born, out))
            {
                Ok(()) => info!("backend server `{name}` announces that it is leaving"),
                // An unknown server needs no withdrawal; `withdraw` does not return `NoSlots`.
                Err(AnnounceError::Unknown(_) | AnnounceError::NoSlots(_)) => {}
            }
            StatusCode::OK
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
