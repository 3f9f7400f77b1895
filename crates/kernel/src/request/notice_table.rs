use std::collections::BTreeMap;

use crate::{
    clock::ClockInstant,
    ids::BackendName,
    member::{BackendIncarnation, StatedLimit},
};

/// Number of servers whose notices are kept; the oldest notice is dropped for a new one.
const MAX_NOTICES: usize = 512;

/// What this node has learned from backend servers about themselves.
///
/// It outlives the servers' membership rows: the node beside a server may restart and then knows
/// less than the nodes that passed on the server's responses.
#[derive(Clone, Debug, Default)]
pub(crate) struct NoticeTable {
    notices: BTreeMap<BackendName, NoticeEntry>,
}

#[derive(Clone, Copy, Debug, Default)]
struct NoticeEntry {
    limit: StatedLimit,
    /// Latest incarnation that stated its departure.
    departed: Option<BackendIncarnation>,
    noted_at: ClockInstant,
}

impl NoticeTable {
    /// Returns the limit that the server stated last.
    pub(crate) fn limit(&self, backend: &BackendName) -> StatedLimit {
        let notice = self.notices.get(backend);
        notice.map_or(StatedLimit::Unknown, |notice| notice.limit)
    }

    /// Records the limit that a server states; [`StatedLimit::Unknown`] changes nothing.
    pub(crate) fn record_limit(
        &mut self,
        now: ClockInstant,
        backend: &BackendName,
        limit: StatedLimit,
    ) {
        let is_new = match limit {
            StatedLimit::Unknown => return,
            StatedLimit::Unlimited => false,
            StatedLimit::Limited(_) => true,
        };
        if is_new || self.notices.contains_key(backend) {
            let notice = self.entry(now, backend);
            notice.limit = limit;
        }
    }

    /// Records that an incarnation of a server stated its departure.
    pub(crate) fn record_departure(
        &mut self,
        now: ClockInstant,
        backend: &BackendName,
        incarnation: BackendIncarnation,
    ) {
        let notice = self.entry(now, backend);
        notice.departed = notice.departed.max(Some(incarnation));
    }

    /// Returns whether this incarnation of the server, or a later one, stated its departure.
    pub(crate) fn has_departed(
        &self,
        backend: &BackendName,
        incarnation: BackendIncarnation,
    ) -> bool {
        let notice = self.notices.get(backend);
        let departed = notice.and_then(|notice| notice.departed);
        departed.is_some_and(|departed| incarnation <= departed)
    }

    fn entry(&mut self, now: ClockInstant, backend: &BackendName) -> &mut NoticeEntry {
        if !self.notices.contains_key(backend) && self.notices.len() >= MAX_NOTICES {
            let notices = self.notices.iter();
            let oldest = notices.min_by_key(|(_, notice)| notice.noted_at);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.notices.remove(&oldest);
            }
        }
        let notice = self.notices.entry(backend.clone()).or_default();
        notice.noted_at = now;
        notice
    }
}
