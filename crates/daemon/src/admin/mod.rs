//! The administration API: one dropshot server per daemon.
//!
//! [`AdminServer::bind`] listens at once, so that the daemon knows its own address; requests are
//! answered with 503 until [`AdminServer::serve`] hands over the instance. The OpenAPI document of
//! [`openapi`] is committed.

pub mod api;
mod auth;
mod border;
mod changes;
mod context;
mod declarations;
mod error;
mod moves;
mod servers;
mod state;

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, BuildError, ConfigDropshot, HttpServer,
    ServerBuilder,
};

pub use error::{ApiError, ErrorCode};

use self::context::Context;
use crate::logging;
use crate::run::StartError;
use crate::settings::Settings;
use crate::shared::SharedInstance;

/// Largest body where an endpoint sets no limit of its own, in bytes.
const BODY_BYTES: usize = 65_536;

/// Version of the API.
const API_VERSION: semver::Version = semver::Version::new(1, 0, 0);

/// The administration API of one daemon.
pub struct AdminServer {
    server: HttpServer<Context>,
}

impl AdminServer {
    /// Listens where the settings say.
    ///
    /// # Errors
    /// A port in use, or an address that this machine does not have.
    pub fn bind(settings: &Settings) -> Result<Self, StartError> {
        let api = describe().map_err(|error| StartError::Admin(error.to_string()))?;
        let config = ConfigDropshot {
            bind_address: settings.listen.admin,
            default_request_body_max_bytes: BODY_BYTES,
            ..Default::default()
        };
        let server = ServerBuilder::new(api, Context::new(settings), logging::slog_bridge())
            .config(config)
            .start()
            .map_err(start_error)?;
        Ok(Self { server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Answers requests from the instance from now on.
    pub fn serve(&self, shared: SharedInstance) {
        self.server.app_private().serve(shared);
    }

    /// Stops the API; requests under way are answered, those that wait at once.
    pub async fn stop(self) {
        self.server.app_private().stop();
        // The server reports an error only when its accept loop had ended before.
        let _ = self.server.close().await;
    }
}

/// The OpenAPI document of the API, as JSON text.
///
/// # Errors
/// Two endpoints that clash.
pub fn openapi() -> anyhow::Result<String> {
    let api = describe()?;
    let mut definition = api.openapi("cyclamenmoor administration", API_VERSION);
    definition.description("Publishes declarations and reads the state of one daemon.");
    Ok(serde_json::to_string_pretty(&definition.json()?)? + "\n")
}

fn describe() -> Result<ApiDescription<Context>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(changes::publish_change)?;
    api.register(changes::read_change)?;
    api.register(declarations::list_declarations)?;
    api.register(declarations::read_declaration)?;
    api.register(moves::list_moves)?;
    api.register(moves::read_move)?;
    api.register(moves::order_move)?;
    api.register(servers::announce_server)?;
    api.register(servers::withdraw_server)?;
    api.register(state::list_members)?;
    api.register(state::read_state)?;
    api.register(state::read_ready)?;
    Ok(api)
}

fn start_error(error: BuildError) -> StartError {
    match error {
        BuildError::BindError { address, error } => {
            StartError::Bind { address, purpose: "administration", cause: error }
        }
        other => StartError::Admin(other.to_string()),
    }
}
