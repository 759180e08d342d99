//! News still to be passed on, the most urgent and least told first.

use std::collections::BTreeMap;

use cyclamen_types::ServerName;

use crate::datagram::ShortId;
use crate::wire::{Rider, RiderKind};

/// News kept at most.
const NEWS_LIMIT: usize = 2_048;

/// Records kept at most; peers pull what they missed.
const RECORDS_LIMIT: usize = 16;

/// Reports of evidence kept at most; later ones hold all that earlier ones of a reporter did.
const EVIDENCE_LIMIT: usize = 32;

/// How soon a piece of news should be told; lower ones go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// At once and to all: convictions, backend servers that leave.
    Urgent,
    /// At once, but whoever misses them can pull them.
    Records,
    /// Before members and backend servers, which digests repair: reports of evidence, of which a
    /// verdict within seconds is made, also while many members come and go.
    Reports,
    /// With every datagram: members and backend servers.
    Soon,
}

/// What a piece of news is about. Newer news about the same replaces older.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Topic {
    Member(ShortId),
    Server(ShortId, ServerName),
    Rider(u64),
}

#[derive(Debug)]
struct News {
    urgency: Urgency,
    rider: Option<Rider>,
    told: u32,
    limit: u32,
    added: u64,
}

/// The news.
#[derive(Debug, Default)]
pub(crate) struct Hot {
    news: BTreeMap<Topic, News>,
    count: u64,
}

impl Hot {
    /// Adds news to be told `limit` times.
    pub(crate) fn add(&mut self, topic: Topic, urgency: Urgency, limit: u32) {
        self.insert(topic, urgency, None, limit);
    }

    /// Adds a rider to be told `limit` times.
    pub(crate) fn add_rider(&mut self, id: u64, rider: Rider, limit: u32) {
        let urgency = match rider.kind {
            RiderKind::Conviction => Urgency::Urgent,
            RiderKind::Records => Urgency::Records,
            RiderKind::Evidence => Urgency::Reports,
        };
        self.insert(Topic::Rider(id), urgency, Some(rider), limit);
    }

    /// Topics in the order in which they should be told.
    pub(crate) fn order(&self) -> Vec<(Topic, Urgency)> {
        let mut all: Vec<(&Topic, &News)> = self.news.iter().collect();
        all.sort_by_key(|(_, news)| (news.urgency, news.told, u64::MAX - news.added));
        all.into_iter().map(|(topic, news)| (topic.clone(), news.urgency)).collect()
    }

    /// The rider of a topic.
    pub(crate) fn rider(&self, topic: &Topic) -> Option<&Rider> {
        self.news.get(topic)?.rider.as_ref()
    }

    /// Whether reports of evidence wait.
    pub(crate) fn has_reports(&self) -> bool {
        self.news.values().any(|news| news.urgency == Urgency::Reports)
    }

    /// How many pieces of news there are.
    pub(crate) fn len(&self) -> usize {
        self.news.len()
    }

    /// Counts a telling; news told often enough is forgotten.
    pub(crate) fn told(&mut self, topic: &Topic) {
        let Some(news) = self.news.get_mut(topic) else {
            return;
        };
        news.told += 1;
        if news.told >= news.limit {
            self.news.remove(topic);
        }
    }

    /// Forgets news.
    pub(crate) fn forget(&mut self, topic: &Topic) {
        self.news.remove(topic);
    }

    fn insert(&mut self, topic: Topic, urgency: Urgency, rider: Option<Rider>, limit: u32) {
        self.count += 1;
        let news = News { urgency, rider, told: 0, limit, added: self.count };
        self.news.insert(topic, news);
        if urgency == Urgency::Records {
            self.shed(RECORDS_LIMIT, |news| news.urgency == Urgency::Records);
        }
        if urgency == Urgency::Reports {
            self.shed(EVIDENCE_LIMIT, |news| news.urgency == Urgency::Reports);
        }
        self.shed(NEWS_LIMIT, |_| true);
    }

    /// Forgets the least urgent, most told and oldest of the news that `counts`, when there is
    /// more of it than `limit`.
    fn shed(&mut self, limit: usize, counts: impl Fn(&News) -> bool) {
        if self.news.len() <= limit {
            return;
        }
        let counted: Vec<(&Topic, &News)> =
            self.news.iter().filter(|(_, news)| counts(news)).collect();
        if counted.len() <= limit {
            return;
        }
        let last = counted.iter().max_by_key(|(_, n)| (n.urgency, n.told, u64::MAX - n.added));
        if let Some(topic) = last.map(|(topic, _)| (*topic).clone()) {
            self.news.remove(&topic);
        }
    }
}
