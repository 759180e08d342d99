//! The administration API: an HTTP server (dropshot) in every daemon.
//!
//! It publishes changes, answers questions about the state of the daemon, and takes the
//! announcements of backend servers. [`AdminServer::bind`] opens the listener before the instance
//! exists, because the instance has to know its own addresses; until
//! [`AdminServer::set_instance`] sets the instance, endpoints that need it answer 503. The OpenAPI
//! document that [`openapi`] returns is committed as `docs/openapi/admin.json`.

pub mod api;
mod auth;
mod blocked_calls;
mod changes;
mod context;
mod declarations;
mod error;
mod moves;
mod servers;
mod state;
mod validation;

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

/// Maximum size of a request body, in bytes, for endpoints without a limit of their own.
const MAX_BODY_BYTES: usize = 65_536;

/// Version of the API in its OpenAPI document.
const API_VERSION: semver::Version = semver::Version::new(1, 0, 0);

/// The administration API of one daemon.
pub struct AdminServer {
    server: HttpServer<Context>,
}

impl AdminServer {
    /// Starts to listen on the administration address of `settings`.
    ///
    /// # Errors
    /// The port is in use, or the address does not belong to this machine.
    pub fn bind(settings: &Settings) -> Result<Self, StartError> {
        let api = api_description().map_err(|error| StartError::Admin(error.to_string()))?;
        let config = ConfigDropshot {
            bind_address: settings.listen.admin,
            default_request_body_max_bytes: MAX_BODY_BYTES,
            ..Default::default()
        };
        let server = ServerBuilder::new(api, Context::new(settings), logging::slog_bridge())
            .config(config)
            .start()
            .map_err(start_error)?;
        Ok(Self { server })
    }

    /// The address that the server listens on; its port is the one picked if the settings say 0.
    pub fn local_address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Sets the instance that requests are answered from; only the first call has an effect.
    pub fn set_instance(&self, shared: SharedInstance) {
        self.server.app_private().set_instance(shared);
    }

    /// Stops the server after all requests in progress have been answered. Requests that wait for
    /// an event stop waiting at once.
    pub async fn stop(self) {
        self.server.app_private().stop();
        // `close` fails only if the accept loop has already ended.
        let _ = self.server.close().await;
    }
}

/// The OpenAPI document of the API, as JSON text.
///
/// # Errors
/// Two endpoints conflict, or the document cannot be written as JSON.
pub fn openapi() -> anyhow::Result<String> {
    let api = api_description()?;
    let mut definition = api.openapi("cyclamenmoor administration", API_VERSION);
    definition.description("Publishes declarations and reads the state of one daemon.");
    Ok(serde_json::to_string_pretty(&definition.json()?)? + "\n")
}

fn api_description() -> Result<ApiDescription<Context>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(changes::publish_change)?;
    api.register(changes::read_change)?;
    api.register(declarations::list_declarations)?;
    api.register(declarations::read_declaration)?;
    api.register(blocked_calls::list_blocked_calls)?;
    api.register(blocked_calls::unblock_call)?;
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
