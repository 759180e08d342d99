//! Endpoints by which backend servers announce, renew and withdraw themselves.

use cyclamen_types::{NameError, ServerName};
use cyclamenmoor::{AnnounceError, Announcement};
use dropshot::{HttpResponseDeleted, HttpResponseOk, Path, TypedBody, endpoint};

use super::api::{AnnouncementBody, LeaseAnswer, NamePath};
use super::context::{self, Request};
use super::error::{ApiError, ErrorCode};

/// Announces or renews the backend server of this name.
///
/// Taken without token, but only from the daemon's own machine.
#[endpoint { method = PUT, path = "/v1/servers/{name}", tags = ["servers"] }]
pub(super) async fn announce_server(
    cx: Request,
    path: Path<NamePath>,
    body: TypedBody<AnnouncementBody>,
) -> Result<HttpResponseOk<LeaseAnswer>, ApiError> {
    context::require_local(&cx)?;
    let announcement = announcement(&path.into_inner().name, body.into_inner())?;
    let shared = cx.context().shared()?;
    shared.with(|instance, now, out| instance.announce_server(now, &announcement, out))?;
    let lease = cx.context().announcement_lease;
    let lease_ms = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
    Ok(HttpResponseOk(LeaseAnswer { lease_ms }))
}

/// Withdraws the backend server of this name: it gets nothing new from now on.
///
/// Taken without token, but only from the daemon's own machine.
#[endpoint { method = DELETE, path = "/v1/servers/{name}", tags = ["servers"] }]
pub(super) async fn withdraw_server(
    cx: Request,
    path: Path<NamePath>,
) -> Result<HttpResponseDeleted, ApiError> {
    context::require_local(&cx)?;
    let name: ServerName = path.into_inner().name.as_str().try_into()?;
    let shared = cx.context().shared()?;
    shared.with(|instance, now, out| instance.withdraw_server(now, &name, None, out))?;
    Ok(HttpResponseDeleted())
}

fn announcement(name: &str, body: AnnouncementBody) -> Result<Announcement, ApiError> {
    if body.connections == 0 {
        let message = "`connections` is 0: announce at least 1";
        return Err(ApiError::new(ErrorCode::Malformed, message));
    }
    Ok(Announcement {
        // Requests of this API do not carry these two.
        order: None,
        cold: None,
        name: name.try_into()?,
        service: body.service.try_into()?,
        version: body.version.try_into()?,
        labels: body.labels,
        slots: body.slots,
        connections: body.connections,
        address: body.address,
        draining: body.draining,
    })
}

impl From<NameError> for ApiError {
    fn from(error: NameError) -> Self {
        Self::new(ErrorCode::Malformed, error.to_string())
    }
}

impl From<AnnounceError> for ApiError {
    fn from(error: AnnounceError) -> Self {
        let code = match error {
            AnnounceError::NoSlots(_)
            | AnnounceError::TooManySlots(_)
            | AnnounceError::ImplausibleOrder(_) => ErrorCode::Malformed,
            AnnounceError::Unknown(_) => ErrorCode::NotFound,
        };
        Self::new(code, error.to_string())
    }
}
