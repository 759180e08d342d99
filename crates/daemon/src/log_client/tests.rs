//! Responses whose status does not go with their body.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_distribution::{LogBatch, LogReadError};
use cyclamen_types::Offset;
use cyclamenmoor::AppendError;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::LogClient;

const APPENDED: &str = r#"{"offset": 7}"#;
const READ: &str = r#"{"first": 0, "next": 1, "records": [{"offset": 0, "payload": "{}"}]}"#;

/// A client of a log service that gives one response, with this status and body.
async fn client(status: u16, body: &'static str) -> LogClient {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1_024];
        let read = stream.read(&mut request).await.expect("a request");
        assert!(read > 0);
        let len = body.len();
        let head = format!("HTTP/1.1 {status} x\r\ncontent-length: {len}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("the client reads");
        stream.write_all(body.as_bytes()).await.expect("the client reads");
    });
    LogClient::new(address)
}

async fn append(status: u16) -> Result<Offset, AppendError> {
    client(status, APPENDED).await.append(&Arc::from("{}")).await
}

async fn read(status: u16, body: &'static str) -> Result<LogBatch, LogReadError> {
    client(status, body).await.read(Offset(0), Duration::ZERO).await
}

#[tokio::test]
async fn append_error_status_with_offset_is_no_success() {
    assert_eq!(append(201).await, Ok(Offset(7)));
    assert_eq!(append(429).await, Err(AppendError::Busy));
    for status in [400, 404, 410, 500, 503] {
        assert_eq!(append(status).await, Err(AppendError::Unanswered), "status {status}");
    }
}

#[tokio::test]
async fn read_error_status_with_records_is_no_success() {
    assert_eq!(read(200, READ).await.map(|batch| batch.records.len()), Ok(1));
    let trimmed = read(410, r#"{"first": 3}"#).await;
    assert_eq!(trimmed, Err(LogReadError::Trimmed { first: Offset(3) }));
    for status in [400, 404, 429, 500, 503] {
        assert_eq!(read(status, READ).await, Err(LogReadError::Down), "status {status}");
    }
}
