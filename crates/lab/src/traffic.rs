//! The calls that a deployment's callers make.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_standins::{CallKey, CallPlan};
use http::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::deployment::{Deployment, RouteShape, ServiceShape};

/// When callers give up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes of the body of a call that runs at most once.
const FILING_BYTES: usize = 512;

/// One kind of call, with its share.
#[derive(Clone, Debug)]
struct Kind {
    path: Arc<str>,
    once: bool,
    up_to: u32,
}

/// The mix of calls of a deployment.
#[derive(Clone, Debug)]
pub struct Traffic {
    kinds: Vec<Kind>,
    total: u32,
    seed: u64,
    tag: Arc<str>,
}

impl Traffic {
    /// The whole mix; `tag` keeps the keys of several loads apart.
    pub fn new(deployment: &Deployment, seed: u64, tag: &str) -> Self {
        let mut traffic = Self { kinds: Vec::new(), total: 0, seed, tag: tag.into() };
        for service in deployment.services {
            for route in service.routes {
                traffic.push(service, route);
            }
        }
        traffic
    }

    /// The call of a number; the same for the same seed.
    pub fn call(&self, number: u64) -> CallPlan {
        let mut rng = StdRng::seed_from_u64(self.seed ^ number);
        let draw = rng.random_range(0..self.total);
        let kind = self.kinds.iter().find(|kind| draw < kind.up_to).unwrap_or(&self.kinds[0]);
        CallPlan {
            method: if kind.once { Method::POST } else { Method::GET },
            host: "mesh.example".into(),
            path: Arc::clone(&kind.path),
            key: CallKey::from(format!("{}-{number}", self.tag).as_str()),
            body_bytes: if kind.once { FILING_BYTES } else { 0 },
            timeout: CALLER_TIMEOUT,
        }
    }

    fn push(&mut self, service: &ServiceShape, route: &RouteShape) {
        self.total += route.weight * u32::try_from(service.servers).unwrap_or(1);
        let path = format!("/{}/{}?bytes={}", service.name, route.name, route.bytes);
        self.kinds.push(Kind { path: path.into(), once: route.once, up_to: self.total });
    }
}
