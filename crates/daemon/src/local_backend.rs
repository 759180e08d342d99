//! The backend server that the settings name, to tell its reports from those of others.
//!
//! Anybody on the instance may write to where backend servers announce themselves. Only the server
//! at the address in the settings can be reached by this daemon and no other, and only it runs the
//! service that callers here are taken for, so an announcement of another service or address names
//! no server to use.

use std::net::SocketAddr;

use cyclamen_types::{ServerName, ServiceName};
use cyclamenmoor::Announcement;
use thiserror::Error;

/// The local backend server, as the settings describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LocalBackend {
    /// The service that it runs.
    pub(crate) service: ServiceName,
    /// Where it listens; `None` for any address.
    pub(crate) address: Option<SocketAddr>,
}

/// Why an announcement is not of the local backend server.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum Misfit {
    /// It names another service.
    #[error(
        "ignored an announcement of `{server}`, which runs `{service}`: the settings name another \
         service; start the daemon again if that has changed"
    )]
    Service {
        /// The server.
        server: ServerName,
        /// Its service.
        service: ServiceName,
    },
    /// It names another address.
    #[error(
        "ignored an announcement of `{server}` at {address}: the settings name another address; \
         start the daemon again if that has changed"
    )]
    Address {
        /// The server.
        server: ServerName,
        /// Its address.
        address: SocketAddr,
    },
}

impl LocalBackend {
    /// Checks that an announcement is of the local backend server.
    ///
    /// # Errors
    /// It is of another service or address.
    pub(crate) fn check(&self, announcement: &Announcement) -> Result<(), Misfit> {
        let server = announcement.name.clone();
        if announcement.service != self.service {
            let service = announcement.service.clone();
            return Err(Misfit::Service { server, service });
        }
        if self.address.is_some_and(|address| address != announcement.address) {
            return Err(Misfit::Address { server, address: announcement.address });
        }
        Ok(())
    }
}
