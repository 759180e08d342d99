//! Request heads on callers' connections, and which of them can be pipelined.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE,
};
use http::request::Parts;
use http::{HeaderMap, Method, Request, Uri, Version};

use crate::calls::serve::MAX_HEAD_BYTES;

/// Most headers in a request head.
const MAX_HEADERS: usize = 100;

/// What the unparsed bytes start with.
pub(super) enum ParsedHead {
    /// The whole head of a request without a body.
    Call(Box<Parts>),
    /// An incomplete head.
    Partial,
    /// Anything that cannot be pipelined.
    HandOver,
}

/// What `buf` starts with, and the length of the head if it is [`ParsedHead::Call`].
pub(super) fn parse_head(buf: &[u8]) -> (ParsedHead, usize) {
    if buf.is_empty() {
        return (ParsedHead::Partial, 0);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let len = match head.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD_BYTES => {
            return (ParsedHead::Partial, 0);
        }
        Ok(httparse::Status::Partial) | Err(_) => return (ParsedHead::HandOver, 0),
    };
    match request_parts(&head) {
        Some(parts) if can_be_pipelined(&parts) => (ParsedHead::Call(Box::new(parts)), len),
        _ => (ParsedHead::HandOver, 0),
    }
}

fn request_parts(head: &httparse::Request<'_, '_>) -> Option<Parts> {
    if head.version != Some(1) {
        return None;
    }
    let mut req = Request::new(());
    *req.method_mut() = Method::from_bytes(head.method?.as_bytes()).ok()?;
    *req.uri_mut() = Uri::try_from(head.path?).ok()?;
    *req.version_mut() = Version::HTTP_11;
    for header in head.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        req.headers_mut().append(name, value);
    }
    Some(req.into_parts().0)
}

/// Whether a request can be pipelined: no body, upgrade or tunnel, and not HEAD, whose responses
/// are framed differently.
fn can_be_pipelined(parts: &Parts) -> bool {
    let headers = &parts.headers;
    let excluded = [CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT, UPGRADE];
    let absent = excluded.iter().all(|name| !headers.contains_key(name));
    absent && parts.method != Method::HEAD && parts.method != Method::CONNECT
}

/// Whether a request asks to close the connection after the response.
pub(super) fn asks_to_close(headers: &HeaderMap) -> bool {
    let mut tokens = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    tokens.any(|value| value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}
