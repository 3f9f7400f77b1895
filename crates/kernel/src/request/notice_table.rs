use std::collections::BTreeMap;

use crate::{clock::ClockInstant, ids::BackendName, member::StatedLimit};

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
