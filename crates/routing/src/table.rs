//! The compiled table of routes, built whole and verified before it is installed.

use cyclamen_declarations::Labels;
use cyclamen_ledger::Config;
use cyclamen_types::{ConfigVersion, RouteName, ServiceName};
use derive_more::{Display, From, Into};
use thiserror::Error;

/// A route of a table.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteIndex(pub usize);

/// A service of a table.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceIndex(pub usize);

/// One fault of a table; a table with faults is not installed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableFault {
    /// A route points at a service that is not held.
    #[error("route `{route}` points at service `{service}`, which is not held: declare it first")]
    MissingService {
        /// The route.
        route: RouteName,
        /// The service.
        service: ServiceName,
    },
}

/// The routes that one proxy holds.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: ConfigVersion,
}

impl RouteTable {
    /// Builds the table of a proxy with these labels.
    ///
    /// # Errors
    /// All faults; the table in force then stays.
    pub fn build(config: &Config, _proxy: &Labels) -> Result<Self, Vec<TableFault>> {
        Ok(Self { version: config.version })
    }

    /// The configuration it was built from.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The routes it holds, in order of name.
    pub fn route_names(&self) -> Vec<RouteName> {
        Vec::new()
    }
}
