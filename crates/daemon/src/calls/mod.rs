//! Calls: from callers and other daemons to backend servers.

use tokio::net::TcpListener;

use crate::settings::Settings;
use crate::shared::Shared;

/// The call server of one daemon.
pub struct CallServer;

impl CallServer {
    /// Serves calls on `listener`.
    pub fn start(_shared: Shared, _settings: &Settings, _listener: TcpListener) -> Self {
        Self
    }

    /// Refuses new calls as not run and waits for those in flight.
    pub async fn stop(&self) {}

    /// Cuts everything at once.
    pub fn kill(&self) {}
}
