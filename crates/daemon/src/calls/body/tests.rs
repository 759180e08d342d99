//! Tests when response bodies end, and what becomes of their connections.

use std::net::SocketAddr;

use http::Request;
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Duration, Instant};

use super::{AttemptBody, BodyError, ResponseBody};
use crate::calls::pool::{Exchange, Pool, PoolLimits, ResendPolicy};

/// One connection, with buffers as towards backend servers.
const POOL_LIMITS: PoolLimits = PoolLimits { connections: 1, buffer_bytes: 64 * 1024 };

/// Time from the head of an answer to its deadline.
const TIMEOUT: Duration = Duration::from_millis(200);

/// Pause of the caller after each part, in which the next one arrives.
const PART_PAUSE: Duration = Duration::from_millis(20);

/// Longest time after its deadline in which a body that flows too slowly has ended.
const LATE: Duration = Duration::from_secs(2);

/// Pause of a server after each part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pause {
    None,
    /// Half of [`PART_PAUSE`].
    Short,
}

/// Writes `head`, and then `part` again and again, to the first connection.
async fn flood(listener: TcpListener, head: &'static str, part: String, pause: Pause) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    stream.read_u8().await.expect("a request");
    stream.write_all(head.as_bytes()).await.expect("a connection");
    while stream.write_all(part.as_bytes()).await.is_ok() {
        if pause == Pause::Short {
            tokio::time::sleep(PART_PAUSE / 2).await;
        }
    }
}

/// Makes a call and returns the body of the answer.
async fn body(pool: &Pool, server: SocketAddr) -> ResponseBody {
    let until = Instant::now() + TIMEOUT;
    let req = Request::new(AttemptBody::Buffered(None));
    let sent = pool.send(server, req, until, ResendPolicy::Never).await;
    let Exchange { response, lease, .. } = sent.expect("the head of a response");
    ResponseBody::streamed(response.into_body(), lease, Instant::now() + TIMEOUT)
}

/// Takes a part of the body after each [`PART_PAUSE`], and returns when the body broke off after
/// its deadline; `None` if it has not [`LATE`] after it.
async fn broke_off(head: &'static str, part: String, pause: Pause) -> Option<Duration> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let server = listener.local_addr().expect("an address");
    let flooding = tokio::spawn(flood(listener, head, part, pause));
    let pool = Pool::new(POOL_LIMITS);
    let mut body = body(&pool, server).await;
    let deadline = Instant::now() + TIMEOUT;
    while deadline.elapsed() < LATE {
        match body.frame().await.expect("no end") {
            Ok(_) => tokio::time::sleep(PART_PAUSE).await,
            Err(BodyError::DeadlineExceeded) => {
                flooding.await.expect("the connection is closed");
                return Some(deadline.elapsed());
            }
            Err(error) => panic!("{error}"),
        }
    }
    None
}

#[tokio::test]
async fn response_body_of_unknown_length_that_never_waits_breaks_off() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
    for (head, part) in [("HTTP/1.1 200 OK\r\n\r\n", "x".repeat(0x10000)), (chunked, chunk)] {
        assert!(broke_off(head, part, Pause::None).await.is_some());
    }
}

#[tokio::test]
async fn response_body_of_known_length_that_drips_breaks_off() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 10000\r\n\r\n";
    assert!(broke_off(head, "x".into(), Pause::Short).await.is_some());
}

#[tokio::test]
async fn response_body_of_known_length_that_flows_goes_on() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n";
    assert_eq!(broke_off(head, "x".repeat(0x10000), Pause::None).await, None);
}

#[tokio::test]
async fn response_body_with_trailers_returns_connection() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let server = listener.local_addr().expect("an address");
    let answer = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx-a: b\r\n\r\n";
    // One answer to each part of the requests that arrives, which are written whole.
    let answering = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buf = [0; 1024];
        while stream.read(&mut buf).await.is_ok_and(|len| len > 0) {
            stream.write_all(answer.as_bytes()).await.expect("a connection");
        }
    });
    let pool = Pool::new(POOL_LIMITS);
    for _ in 0..3 {
        let mut body = body(&pool, server).await;
        let frame = body.frame().await.expect("trailers").expect("a whole body");
        // hyper takes nothing after trailers.
        assert!(frame.is_trailers());
    }
    drop(pool);
    answering.await.expect("no panic");
}
