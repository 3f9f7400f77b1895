use std::collections::BTreeMap;

use compact_str::CompactString;
use rand::{Rng, seq::IndexedRandom};

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::VersionStamp,
    ids::NodeName,
    spread::VersionStore,
};

const MAX_CANDIDATE_VERSIONS: usize = 16;
const MAX_SOURCES: usize = 32;
const STORE_RETRY_INTERVAL: TimeBudget = TimeBudget::from_secs(5);
const RETRY_MIN_MS: u64 = 200;
const RETRY_MAX_MS: u64 = 600;

/// Source of a version's content.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FetchSource {
    /// A peer that has announced the version.
    Peer(NodeName),
    /// The object of this name in the platform's object store.
    Store(CompactString),
}

/// One fetch of a version's content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionFetch {
    /// Requested version.
    pub stamp: VersionStamp,
    /// Version that may serve as the base of a delta.
    pub base: Option<VersionStamp>,
    /// Source to fetch from.
    pub source: FetchSource,
    /// When a fetch from another source may start.
    pub deadline: ClockInstant,
}

#[derive(Clone, Debug, Default)]
struct VersionSources {
    /// Earliest time of the next fetch from each source.
    sources: BTreeMap<FetchSource, ClockInstant>,
    /// Whether a fetch requests the whole snapshot, because a source sent altered content.
    needs_whole_snapshot: bool,
}

/// Decides which version a node fetches, and from which source.
///
/// One fetch is in flight at a time. When it exceeds its timeout, a second one starts from another
/// source without cancelling the first.
#[derive(Clone, Debug, Default)]
pub struct FetchScheduler {
    candidates: BTreeMap<VersionStamp, VersionSources>,
    in_flight_until: ClockInstant,
}

impl FetchScheduler {
    /// Records that `source` holds the version `stamp` and may be used from `ready_at` on.
    pub fn add_source(&mut self, stamp: VersionStamp, source: FetchSource, ready_at: ClockInstant) {
        let candidate = self.candidates.entry(stamp).or_default();
        if candidate.sources.len() < MAX_SOURCES {
            candidate.sources.entry(source).or_insert(ready_at);
        }
        if self.candidates.len() > MAX_CANDIDATE_VERSIONS {
            self.candidates.pop_first();
        }
    }

    /// Returns whether any version has been announced that may still have to be fetched.
    #[must_use]
    pub fn has_candidates(&self) -> bool {
        !self.candidates.is_empty()
    }

    /// Returns when the next fetch may start, or `None` if no version has been announced.
    #[must_use]
    pub fn next_start(&self) -> Option<ClockInstant> {
        let sources = self.candidates.values().flat_map(|it| it.sources.values());
        let ready_at = sources.copied().min()?;
        Some(ready_at.max(self.in_flight_until))
    }

    /// Returns the newest announced version that is still wanted.
    #[must_use]
    pub fn newest_wanted(&self, versions: &VersionStore) -> Option<VersionStamp> {
        let mut stamps = self.candidates.keys().rev();
        stamps.find(|stamp| versions.is_wanted(**stamp)).copied()
    }

    /// Returns the fetch to start now, if any; its deadline is `timeout` after `now`.
    pub fn next_fetch(
        &mut self,
        versions: &VersionStore,
        now: ClockInstant,
        timeout: TimeBudget,
        rng: &mut impl Rng,
    ) -> Option<VersionFetch> {
        self.candidates
            .retain(|stamp, _| versions.is_wanted(*stamp));
        if !self.in_flight_until.has_passed(now) {
            return None;
        }
        let deadline = now.after(timeout);
        let (stamp, candidate, source) = self.select_source(now, rng)?;
        let retry_at = match source {
            FetchSource::Peer(_) => deadline,
            FetchSource::Store(_) => now.after(STORE_RETRY_INTERVAL),
        };
        candidate.sources.insert(source.clone(), retry_at);
        let base = if candidate.needs_whole_snapshot {
            None
        } else {
            versions.stamp()
        };
        self.in_flight_until = deadline;
        Some(VersionFetch {
            stamp,
            base,
            source,
            deadline,
        })
    }

    /// Records that a fetch needs no retry: its content was installed, stale or refused.
    pub fn record_completion(&mut self) {
        self.in_flight_until = ClockInstant::default();
    }

    /// Records that a fetch failed; the same source is not used again before `retry_at`.
    pub fn record_failure(&mut self, fetch: &VersionFetch, retry_at: ClockInstant) {
        self.in_flight_until = ClockInstant::default();
        if let Some(candidate) = self.candidates.get_mut(&fetch.stamp) {
            candidate.sources.insert(fetch.source.clone(), retry_at);
        }
    }

    /// Records that a source sent altered content; the next fetch requests the whole snapshot.
    pub fn record_altered(&mut self, fetch: &VersionFetch, retry_at: ClockInstant) {
        self.record_failure(fetch, retry_at);
        if let Some(candidate) = self.candidates.get_mut(&fetch.stamp) {
            candidate.needs_whole_snapshot = true;
        }
    }

    /// Returns a random time at which a failed source may be retried.
    #[must_use]
    pub fn retry_at(now: ClockInstant, rng: &mut impl Rng) -> ClockInstant {
        let wait = rng.random_range(RETRY_MIN_MS..=RETRY_MAX_MS);
        now.after(TimeBudget::from_millis(wait))
    }

    fn select_source(
        &mut self,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) -> Option<(VersionStamp, &mut VersionSources, FetchSource)> {
        for (stamp, candidate) in self.candidates.iter_mut().rev() {
            if let Some(source) = candidate.select_source(now, rng) {
                return Some((*stamp, candidate, source));
            }
        }
        None
    }
}

impl VersionSources {
    fn select_source(&self, now: ClockInstant, rng: &mut impl Rng) -> Option<FetchSource> {
        let ready = self.sources.iter().filter(|(_, at)| at.has_passed(now));
        let (peers, stores): (Vec<_>, Vec<_>) = ready
            .map(|(source, _)| source)
            .partition(|source| matches!(source, FetchSource::Peer(_)));
        let source = peers.choose(rng).or_else(|| stores.first())?;
        Some((*source).clone())
    }
}
