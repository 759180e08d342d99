//! The administration API.

use std::net::SocketAddr;

use crate::run::StartError;
use crate::settings::Settings;
use crate::shared::Shared;

/// The administration API of one daemon.
pub struct AdminServer;

impl AdminServer {
    /// Starts the API on `address`.
    ///
    /// # Errors
    /// A port in use.
    pub async fn start(
        _shared: Shared,
        _settings: &Settings,
        _address: SocketAddr,
    ) -> Result<Self, StartError> {
        Ok(Self)
    }

    /// Stops the API.
    pub async fn stop(self) {}
}
