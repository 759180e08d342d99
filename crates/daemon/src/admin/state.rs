//! Endpoints that read the state of this daemon: members, state dump, readiness.

use cyclamen_membership::{MemberState, Membership};
use cyclamenmoor::Instance;
use dropshot::{HttpResponseOk, endpoint};

use super::api::{MemberAnswer, MemberHealth, MemberList, ReadyAnswer, StateAnswer};
use super::context::Request;
use super::error::{ApiError, ErrorCode};

/// The daemons that this daemon knows.
#[endpoint { method = GET, path = "/v1/members", tags = ["state"] }]
pub(super) async fn list_members(cx: Request) -> Result<HttpResponseOk<MemberList>, ApiError> {
    let members = cx.context().shared()?.read(|instance| members(instance.membership()));
    Ok(HttpResponseOk(MemberList { members }))
}

/// The whole state of this daemon, without secrets.
#[endpoint { method = GET, path = "/v1/state", tags = ["state"] }]
pub(super) async fn read_state(cx: Request) -> Result<HttpResponseOk<StateAnswer>, ApiError> {
    let dump = cx.context().shared()?.read(Instance::dump);
    Ok(HttpResponseOk(StateAnswer(Box::new(dump))))
}

/// Whether this daemon is ready for new callers: 200 when it is, 503 when it is not.
#[endpoint { method = GET, path = "/v1/ready", tags = ["state"] }]
pub(super) async fn read_ready(cx: Request) -> Result<HttpResponseOk<ReadyAnswer>, ApiError> {
    let shared = cx.context().shared()?;
    let (ready, version) = shared.read(|instance| (instance.ready(), instance.ledger().version()));
    if !ready {
        let message = "the daemon has no configuration yet or is stopping: use another daemon";
        return Err(ApiError::new(ErrorCode::NotReady, message));
    }
    Ok(HttpResponseOk(ReadyAnswer { version: version.0 }))
}

fn members(membership: &Membership) -> Vec<MemberAnswer> {
    let mut members = Vec::new();
    for view in membership.members() {
        let applied = membership.applied_config_of(&view.record.instance);
        members.push(MemberAnswer {
            instance: view.record.instance.to_string(),
            incarnation: view.record.incarnation.0,
            failure_domain: view.record.domain.to_string(),
            state: view.state.into(),
            cut_off: view.cut_off,
            version: applied.map(|applied| applied.version.0),
            admin: view.record.addresses.admin,
        });
    }
    members
}

impl From<MemberState> for MemberHealth {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::Alive => Self::Alive,
            MemberState::Suspect => Self::Suspect,
            MemberState::Dead => Self::Dead,
            MemberState::Left => Self::Left,
        }
    }
}
