//! An HTTP/1 server on a port of its own, ended by dropping its handle.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, Response};
use http_body_util::combinators::BoxBody;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// The body of an answer; an error cuts the connection.
pub(crate) type Body = BoxBody<Bytes, std::io::Error>;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A running server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    tasks: JoinSet<()>,
}

impl Server {
    /// Serves `handler` on `address`; a handler that answers `None` cuts the connection.
    pub(crate) async fn start<H, F>(address: SocketAddr, handler: H) -> std::io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Option<Response<Body>>> + Send + 'static,
    {
        Self::start_until(address, handler, std::future::pending()).await
    }

    /// Like [`Server::start`]; the server ends and cuts its connections when `end` does.
    pub(crate) async fn start_until<H, F, E>(
        address: SocketAddr,
        handler: H,
        end: E,
    ) -> std::io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Option<Response<Body>>> + Send + 'static,
        E: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            tokio::select! {
                () = accept(listener, handler) => {}
                () = end => {}
            }
        });
        Ok(Self { address, tasks })
    }

    /// Ends the server and cuts its connections.
    pub(crate) async fn stop(&mut self) {
        self.tasks.shutdown().await;
    }
}

async fn accept<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without it, small answers wait for the other side's acknowledgement.
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service_fn(move |req| {
                let answer = handler(req);
                async move { answer.await.ok_or(Cut) }
            });
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder.timer(TokioTimer::new());
            // A connection that breaks concerns its caller only.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Cuts a connection without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection is cut on purpose")]
struct Cut;

/// A body that is sent whole.
pub(crate) fn whole(bytes: impl Into<Bytes>) -> Body {
    use http_body_util::BodyExt;
    let never = |never: Infallible| match never {};
    http_body_util::Full::new(bytes.into()).map_err(never).boxed()
}
