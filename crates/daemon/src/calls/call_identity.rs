//! The identity of a call: what makes it the same call when it is sent again, by which calls that
//! crash backend servers are recognised.

use std::sync::Arc;

use cyclamen_blocklist::{CallContent, CallDigest, CallKey, Scope};
use http::request::Parts;

use crate::calls::body::RequestBody;
use crate::calls::context::CallContext;
use crate::calls::headers;

/// Longest method and target of a blocked call that is shown to operators, in bytes.
const MAX_EXAMPLE_BYTES: usize = 200;

/// The digest of a call; `None` if its body is streamed, since it is not known before the call
/// runs.
pub(super) fn digest(ctx: &CallContext, parts: &Parts, body: &RequestBody) -> Option<CallDigest> {
    let body = body.buffered_bytes()?;
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let host = headers::host(parts);
    let method = parts.method.as_str();
    Some(ctx.digest_key.call(&CallContent { method, host: &host, target, body }))
}

/// The key under which a call is blocked.
pub(super) fn key(ctx: &CallContext, call: CallDigest, scope: &Scope<'_>) -> CallKey {
    CallKey { call, scope: ctx.digest_key.scope(scope) }
}

/// Method, host and target of a call, for operators. The body may hold what they must not see.
pub(super) fn example(parts: &Parts) -> Arc<str> {
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let text = format!("{} {}{target}", parts.method, headers::host(parts));
    let end = (0..=MAX_EXAMPLE_BYTES.min(text.len())).rev().find(|end| text.is_char_boundary(*end));
    text[..end.unwrap_or(0)].into()
}
