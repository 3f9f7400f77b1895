use std::collections::BTreeMap;

use compact_str::CompactString;
use rand::{Rng, seq::IndexedRandom};

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::VersionStamp,
    ids::NodeName,
    spread::VersionHolder,
};

const MAX_OFFERED_STAMPS: usize = 16;
const MAX_SOURCES: usize = 32;
const STORE_PATIENCE: TimeBudget = TimeBudget::from_secs(5);
const RETRY_MIN_MS: u64 = 200;
const RETRY_MAX_MS: u64 = 600;

/// Where a version's content can be had.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FetchSource {
    /// A peer that said it holds the version.
    Peer(NodeName),
    /// The platform's object store, under this name.
    Store(CompactString),
}

/// One fetch of a version's content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionFetch {
    /// Version that is wanted.
    pub stamp: VersionStamp,
    /// Version to which a delta may apply.
    pub base: Option<VersionStamp>,
    /// Where it is asked for.
    pub source: FetchSource,
    /// When another source may be asked.
    pub deadline: ClockInstant,
}

#[derive(Clone, Debug, Default)]
struct StampOffer {
    /// When each source may be asked, or asked again.
    sources: BTreeMap<FetchSource, ClockInstant>,
    needs_whole: bool,
}

/// Decides which version a node fetches, and from whom.
///
/// One fetch is under way at a time; when it is late, another source is asked beside it.
#[derive(Clone, Debug, Default)]
pub struct FetchPlan {
    offers: BTreeMap<VersionStamp, StampOffer>,
    busy_until: ClockInstant,
}

impl FetchPlan {
    /// Notes that `source` holds the version `stamp` and may be asked from `ready_at` on.
    pub fn heard(&mut self, stamp: VersionStamp, source: FetchSource, ready_at: ClockInstant) {
        let offer = self.offers.entry(stamp).or_default();
        if offer.sources.len() < MAX_SOURCES {
            offer.sources.entry(source).or_insert(ready_at);
        }
        if self.offers.len() > MAX_OFFERED_STAMPS {
            self.offers.pop_first();
        }
    }

    /// Returns the newest version that was heard of and is still wanted.
    #[must_use]
    pub fn newest(&self, holder: &VersionHolder) -> Option<VersionStamp> {
        let mut stamps = self.offers.keys().rev();
        stamps.find(|stamp| holder.wants(**stamp)).copied()
    }

    /// Decides whether a fetch starts now, which has until `allowed` after `now`.
    pub fn next(
        &mut self,
        holder: &VersionHolder,
        now: ClockInstant,
        allowed: TimeBudget,
        rng: &mut impl Rng,
    ) -> Option<VersionFetch> {
        self.offers.retain(|stamp, _| holder.wants(*stamp));
        if !self.busy_until.has_passed(now) {
            return None;
        }
        let deadline = now.after(allowed);
        let (stamp, offer, source) = self.choose(now, rng)?;
        let retry_at = match source {
            FetchSource::Peer(_) => deadline,
            FetchSource::Store(_) => now.after(STORE_PATIENCE),
        };
        offer.sources.insert(source.clone(), retry_at);
        let base = if offer.needs_whole {
            None
        } else {
            holder.stamp()
        };
        self.busy_until = deadline;
        Some(VersionFetch {
            stamp,
            base,
            source,
            deadline,
        })
    }

    /// Notes that a fetch ended well, or that its content was stale.
    pub fn finished(&mut self) {
        self.busy_until = ClockInstant::default();
    }

    /// Notes that a fetch failed, and asks the same source again only after `retry_at`.
    pub fn failed(&mut self, fetch: &VersionFetch, retry_at: ClockInstant) {
        self.busy_until = ClockInstant::default();
        if let Some(offer) = self.offers.get_mut(&fetch.stamp) {
            offer.sources.insert(fetch.source.clone(), retry_at);
        }
    }

    /// Notes that a source sent altered content: the next fetch asks for the whole snapshot.
    pub fn altered(&mut self, fetch: &VersionFetch, retry_at: ClockInstant) {
        self.failed(fetch, retry_at);
        if let Some(offer) = self.offers.get_mut(&fetch.stamp) {
            offer.needs_whole = true;
        }
    }

    /// Draws the instant at which a failed source may be asked again.
    #[must_use]
    pub fn retry_at(now: ClockInstant, rng: &mut impl Rng) -> ClockInstant {
        let wait = rng.random_range(RETRY_MIN_MS..=RETRY_MAX_MS);
        now.after(TimeBudget::from_millis(wait))
    }

    fn choose(
        &mut self,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) -> Option<(VersionStamp, &mut StampOffer, FetchSource)> {
        for (stamp, offer) in self.offers.iter_mut().rev() {
            if let Some(source) = offer.choose(now, rng) {
                return Some((*stamp, offer, source));
            }
        }
        None
    }
}

impl StampOffer {
    fn choose(&self, now: ClockInstant, rng: &mut impl Rng) -> Option<FetchSource> {
        let ready = self.sources.iter().filter(|(_, at)| at.has_passed(now));
        let (peers, stores): (Vec<_>, Vec<_>) = ready
            .map(|(source, _)| source)
            .partition(|source| matches!(source, FetchSource::Peer(_)));
        let source = peers.choose(rng).or_else(|| stores.first())?;
        Some((*source).clone())
    }
}
