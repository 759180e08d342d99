//! Checked types back into border types.

use crate::checked::{
    ChangeEntry, Declaration, EntryAction, HeaderMatch, HostPattern, Limits, Move, Policy, Retries,
    Route, RouteMatch, Service, Version, WeightedService, WeightedVersion,
};
use crate::generated::{
    DeleteBody, HeaderBody, Item, LabelMap, LimitsBody, MatchBody, MoveBody, OrderBody, PolicyBody,
    RetriesBody, RouteBody, ServiceBody, ServiceWeightBody, VersionBody, WeightBody,
};
use crate::labels::{Labels, Selector};
use crate::text::{format_span, format_time};

impl From<&ChangeEntry> for Item {
    fn from(entry: &ChangeEntry) -> Self {
        let mut item = match &entry.action {
            EntryAction::Put(declaration) => Self::from(declaration),
            EntryAction::Delete(key) => {
                let body = DeleteBody { kind: Some(key.kind), name: Some(key.name.to_string()) };
                Self { delete: Some(body), ..Self::default() }
            }
            EntryAction::Order(order) => {
                let move_ = Some(order.name.to_string());
                let body = OrderBody { move_, action: Some(order.action) };
                Self { order: Some(body), ..Self::default() }
            }
        };
        item.base = entry.base.map(Into::into);
        item
    }
}

impl From<&Declaration> for Item {
    fn from(declaration: &Declaration) -> Self {
        match declaration {
            Declaration::Service(service) => service.into(),
            Declaration::Version(version) => version.into(),
            Declaration::Route(route) => route.into(),
            Declaration::Policy(policy) => policy.into(),
            Declaration::Move(mv) => mv.into(),
        }
    }
}

fn label_map(labels: &Labels) -> Option<LabelMap> {
    if labels.is_empty() { None } else { Some(labels.into()) }
}

fn selector_text(selector: &Selector) -> Option<String> {
    if selector.requirements.is_empty() { None } else { Some(selector.to_string()) }
}

impl From<&Service> for Item {
    fn from(service: &Service) -> Self {
        let version = Some(service.version.to_string());
        let body = ServiceBody { labels: label_map(&service.labels), version };
        Self { name: Some(service.name.to_string()), service: Some(body), ..Self::default() }
    }
}

impl From<&Version> for Item {
    fn from(version: &Version) -> Self {
        let body = VersionBody { labels: label_map(&version.labels) };
        Self { name: Some(version.id.to_string()), version: Some(body), ..Self::default() }
    }
}

impl From<&Route> for Item {
    fn from(route: &Route) -> Self {
        let body = RouteBody {
            proxies: selector_text(&route.proxies),
            match_: Some((&route.matches).into()),
            priority: Some(route.priority),
            service: Some(route.service.to_string()),
            services: route.services.iter().map(ServiceWeightBody::from).collect(),
            split: route.split.iter().map(WeightBody::from).collect(),
            timeout: Some(format_span(route.timeout)),
            target: route.target.map(format_span),
            attempts: route.attempts,
            idempotence: Some(route.idempotence),
            criticality: Some(route.criticality),
            sticky: route.sticky.as_ref().map(|sticky| sticky.header.to_string()),
        };
        Self { name: Some(route.name.to_string()), route: Some(body), ..Self::default() }
    }
}

impl From<&RouteMatch> for MatchBody {
    fn from(matches: &RouteMatch) -> Self {
        let prefix = &matches.path_prefix;
        Self {
            hosts: matches.hosts.iter().map(HostPattern::to_string).collect(),
            path_prefix: (!prefix.is_empty()).then(|| prefix.to_string()),
            headers: matches.headers.iter().map(HeaderBody::from).collect(),
        }
    }
}

impl From<&HeaderMatch> for HeaderBody {
    fn from(header: &HeaderMatch) -> Self {
        let value = header.value.as_ref().map(ToString::to_string);
        Self { name: Some(header.name.to_string()), value }
    }
}

impl From<&WeightedService> for ServiceWeightBody {
    fn from(weighted: &WeightedService) -> Self {
        Self { service: Some(weighted.service.to_string()), weight: Some(weighted.weight) }
    }
}

impl From<&WeightedVersion> for WeightBody {
    fn from(weighted: &WeightedVersion) -> Self {
        Self { version: Some(weighted.version.to_string()), weight: Some(weighted.weight) }
    }
}

impl From<&Policy> for Item {
    fn from(policy: &Policy) -> Self {
        let body = PolicyBody {
            services: selector_text(&policy.services),
            proxies: selector_text(&policy.proxies),
            priority: Some(policy.priority),
            limits: Some((&policy.limits).into()),
            retries: Some((&policy.retries).into()),
        };
        Self { name: Some(policy.name.to_string()), policy: Some(body), ..Self::default() }
    }
}

impl From<&Limits> for LimitsBody {
    fn from(limits: &Limits) -> Self {
        let queue_wait = limits.queue_wait.map(format_span);
        Self { queue: limits.queue, queue_wait, body_bytes: limits.body_bytes }
    }
}

impl From<&Retries> for RetriesBody {
    fn from(retries: &Retries) -> Self {
        Self { attempts: retries.attempts, budget_percent: retries.budget_percent }
    }
}

impl From<&Move> for Item {
    fn from(mv: &Move) -> Self {
        let body = MoveBody {
            service: Some(mv.service.to_string()),
            from: Some(mv.from.to_string()),
            to: Some(mv.to.to_string()),
            start: Some(format_time(mv.start)),
            deadline: Some(format_time(mv.deadline)),
            watch: Some(format_span(mv.watch)),
            tolerance_ppm: Some(mv.tolerance_ppm),
            clash: Some(mv.clash),
        };
        Self { name: Some(mv.name.to_string()), move_: Some(body), ..Self::default() }
    }
}
