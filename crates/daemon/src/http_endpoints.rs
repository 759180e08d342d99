//! What the platform and the backend server beside this daemon ask of it: is it ready, and here is
//! what the server says of itself.

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
use crate::shared::Shared;

/// How long a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What a listener answers.
#[derive(Clone)]
enum Door {
    /// Readiness and announcements.
    Platform,
    /// Metrics as text.
    Metrics(Arc<CallMetrics>),
}

/// Answers questions for readiness and announcements at `listener` until the task is dropped.
pub(crate) async fn serve(shared: Shared, listener: TcpListener) {
    accept(shared, Door::Platform, listener).await;
}

/// Answers with metrics at `listener` until the task is dropped.
pub(crate) async fn serve_metrics(
    shared: Shared,
    metrics: Arc<CallMetrics>,
    listener: TcpListener,
) {
    accept(shared, Door::Metrics(metrics), listener).await;
}

async fn accept(shared: Shared, door: Door, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        tokio::spawn(connection(shared.clone(), door.clone(), stream));
    }
}

async fn connection(shared: Shared, door: Door, stream: TcpStream) {
    let service = service_fn(move |req| {
        let (shared, door) = (shared.clone(), door.clone());
        async move {
            Ok::<_, Infallible>(match door {
                Door::Platform => answer(&shared, req).await,
                Door::Metrics(metrics) => metrics_answer(&shared, &metrics),
            })
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
    // A connection that breaks concerns whoever opened it only.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

fn metrics_answer(shared: &Shared, metrics: &CallMetrics) -> Response<Full<Bytes>> {
    match metrics.text(&shared.read(Instance::dump)) {
        Ok(text) => Response::new(Full::new(text.into())),
        Err(fault) => {
            warn!("metrics could not be formatted: {fault}");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

async fn answer(shared: &Shared, req: Request<Incoming>) -> Response<Full<Bytes>> {
    if req.uri().path() == READY_PATH {
        return status(match shared.read(|instance| instance.ready()) {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        });
    }
    let (parts, body) = req.into_parts();
    let Ok(body) = Limited::new(body, BODY_BYTES).collect().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let query = parts.uri.query().unwrap_or_default();
    match announcements::decode(parts.uri.path(), query, &body.to_bytes()) {
        Some(said) => status(take(shared, said)),
        None => {
            warn!("an announcement names no backend server that could be used; it is left out");
            status(StatusCode::BAD_REQUEST)
        }
    }
}

fn take(shared: &Shared, said: Said) -> StatusCode {
    match said {
        Said::Heartbeat(announcement) => {
            let taken =
                shared.with(|instance, now, out| instance.announce(now, &announcement, out));
            match taken {
                Ok(()) => StatusCode::OK,
                Err(fault) => {
                    warn!("{fault}");
                    StatusCode::BAD_REQUEST
                }
            }
        }
        Said::Leave(name, born) => {
            match shared.with(|instance, now, out| instance.withdraw(now, &name, born, out)) {
                Ok(()) => info!("backend server `{name}` leaves"),
                // It is not beside this daemon any more: that is what it asks for.
                Err(AnnounceError::Unknown(_) | AnnounceError::NoSlots(_)) => {}
            }
            StatusCode::OK
        }
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
