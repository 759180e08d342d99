//! Endpoints that read the declarations in force.

use cyclamen_declarations::generated::Item;
use cyclamen_declarations::{Declaration, DeclarationKey, DeclarationKind};
use cyclamen_ledger::{Config, Held};
use cyclamenmoor::Instance;
use dropshot::{HttpResponseOk, Path, endpoint};

use super::api::{
    DeclarationAnswer, DeclarationList, DeclarationPath, DeclarationSummary, KindName,
};
use super::context::Request;
use super::error::{ApiError, ErrorCode};

/// The declarations in force at this daemon, by kind and name.
#[endpoint { method = GET, path = "/v1/declarations", tags = ["declarations"] }]
pub(super) async fn list_declarations(
    cx: Request,
) -> Result<HttpResponseOk<DeclarationList>, ApiError> {
    let list = cx.context().shared()?.read(list);
    Ok(HttpResponseOk(list))
}

/// One declaration, in the form of an entry of a change file.
///
/// The name of a version is `SERVICE/VERSION`, so that its path ends in `SERVICE%2FVERSION`.
#[endpoint { method = GET, path = "/v1/declarations/{kind}/{name}", tags = ["declarations"] }]
pub(super) async fn read_declaration(
    cx: Request,
    path: Path<DeclarationPath>,
) -> Result<HttpResponseOk<DeclarationAnswer>, ApiError> {
    let DeclarationPath { kind, name } = path.into_inner();
    let key = DeclarationKey { kind: kind.into(), name: name.into() };
    let config = cx.context().shared()?.read(|instance| instance.config().clone());
    for (found, held) in all_declarations(&config) {
        if found != key {
            continue;
        }
        let item = Item { base: Some(held.offset.0), ..Item::from(&*held.body) };
        let body = serde_json::to_value(&item).map_err(|error| {
            ApiError::new(
                ErrorCode::Http,
                format!("{key} cannot be written as JSON ({error}): report this as a bug"),
            )
        })?;
        return Ok(HttpResponseOk(DeclarationAnswer { summary: summary(&key, &held), body }));
    }
    let message = format!("{key} is not declared here: list the declarations, or publish it");
    Err(ApiError::new(ErrorCode::NotFound, message))
}

fn list(instance: &Instance) -> DeclarationList {
    let mut declarations = Vec::new();
    for (key, held) in all_declarations(instance.config()) {
        declarations.push(summary(&key, &held));
    }
    DeclarationList { version: instance.config().version.0, declarations }
}

fn summary(key: &DeclarationKey, held: &Held<Declaration>) -> DeclarationSummary {
    DeclarationSummary {
        kind: key.kind.into(),
        name: key.name.as_ref().into(),
        team: held.team.to_string(),
        offset: held.offset.0,
    }
}

/// All declarations of a configuration, ordered by kind and name.
fn all_declarations(config: &Config) -> Vec<(DeclarationKey, Held<Declaration>)> {
    let mut all = Vec::new();
    all.extend(config.services.values().map(with_key));
    all.extend(config.versions.values().map(with_key));
    all.extend(config.routes.values().map(with_key));
    all.extend(config.policies.values().map(with_key));
    all.extend(config.moves.values().map(|mv| with_key(&mv.held)));
    all
}

/// A declaration of any kind, with its key.
fn with_key<T>(held: &Held<T>) -> (DeclarationKey, Held<Declaration>)
where
    T: Clone + Into<Declaration>,
{
    let body: Declaration = T::clone(&held.body).into();
    let held = Held { offset: held.offset, team: held.team.clone(), body: body.into() };
    (held.body.key(), held)
}

impl From<KindName> for DeclarationKind {
    fn from(kind: KindName) -> Self {
        match kind {
            KindName::Service => Self::Service,
            KindName::Version => Self::Version,
            KindName::Route => Self::Route,
            KindName::Policy => Self::Policy,
            KindName::Move => Self::Move,
        }
    }
}

impl From<DeclarationKind> for KindName {
    fn from(kind: DeclarationKind) -> Self {
        match kind {
            DeclarationKind::Service => Self::Service,
            DeclarationKind::Version => Self::Version,
            DeclarationKind::Route => Self::Route,
            DeclarationKind::Policy => Self::Policy,
            DeclarationKind::Move => Self::Move,
        }
    }
}
