use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockInstant,
    config::ShareRatio,
    error::MeshError,
    ids::{DataCentre, MoveNumber, RouteName},
    plugin::RecordKind,
};

/// Name of the record kind of [`MoveView`]s, keyed by `SERVICE/DATA_CENTRE`.
pub const VIEW_KIND: &str = "move-view";

const MAX_VIEW_BYTES: usize = 16 * 1_024;

/// View of a move that a judge sends to the other nodes, which compute their shares from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveView {
    /// Move that the view is about.
    pub number: MoveNumber,
    /// Time of the view, by the judge's clock.
    pub taken_at: ClockInstant,
    /// Requests observed on each route.
    pub routes: BTreeMap<RouteName, RouteTally>,
    /// Time since which every route has had the full share without a recheck.
    #[serde(rename = "whole_since")]
    pub full_share_since: Option<ClockInstant>,
    /// Data centres with recent evidence.
    pub heard: Vec<DataCentre>,
}

/// Requests of a route by version, and the share during a recheck.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// Requests on the old version.
    pub old: u64,
    /// Requests on the new version.
    pub new: u64,
    /// Share to which a recheck limits the new version, while one is active.
    #[serde(rename = "doubt")]
    pub recheck_share: Option<ShareRatio>,
}

impl RouteTally {
    /// Returns the requests on both versions.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.old + self.new
    }
}

impl MoveView {
    /// Creates the view of a judge without evidence.
    #[must_use]
    pub const fn new(number: MoveNumber, now: ClockInstant) -> Self {
        Self {
            number,
            taken_at: now,
            routes: BTreeMap::new(),
            full_share_since: None,
            heard: Vec::new(),
        }
    }

    /// Returns whether the judge rechecks the new version on some route.
    #[must_use]
    pub fn is_in_doubt(&self) -> bool {
        let mut tallies = self.routes.values();
        tallies.any(|tally| tally.recheck_share.is_some())
    }

    /// Returns whether this view replaces `current`.
    ///
    /// The view of the later move wins, and within a move the later view.
    #[must_use]
    pub fn replaces(&self, current: &Self) -> bool {
        let order = (self.number, self.taken_at);
        match order.cmp(&(current.number, current.taken_at)) {
            std::cmp::Ordering::Equal => self.to_bytes() > current.to_bytes(),
            order => order.is_gt(),
        }
    }

    /// Returns whether nodes would compute other shares from this view than from `sent`, so that
    /// it must be sent at once.
    ///
    /// `required_requests` is the number of requests on the new version that allows the full share;
    /// more of them change no share.
    #[must_use]
    pub fn differs_from(&self, sent: &Self, required_requests: u64) -> bool {
        let recheck_shares = |view: &Self| -> Vec<Option<ShareRatio>> {
            view.routes
                .values()
                .map(|tally| tally.recheck_share)
                .collect()
        };
        let has_grown = |(route, tally): (&RouteName, &RouteTally)| {
            let before = sent.routes.get(route).copied().unwrap_or_default();
            before.new < required_requests && tally.new > before.new
        };
        self.number != sent.number
            || self.full_share_since != sent.full_share_since
            || recheck_shares(self) != recheck_shares(sent)
            || self.routes.iter().any(has_grown)
    }

    /// Encodes the view.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a view holds only serializable types")
    }

    /// Decodes a view.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`](crate::error::ErrorKind::Invalid) for malformed bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MeshError> {
        postcard::from_bytes(bytes)
            .map_err(|error| MeshError::invalid(format!("malformed move view: {error}")))
    }
}

fn merge_bytes(current: Option<&[u8]>, received: &[u8]) -> Result<Vec<u8>, MeshError> {
    let received = MoveView::from_bytes(received)?;
    let Some(current) = current else {
        return Ok(received.to_bytes());
    };
    let current = MoveView::from_bytes(current)?;
    let merged = if received.replaces(&current) {
        received
    } else {
        current
    };
    Ok(merged.to_bytes())
}

inventory::submit! {
    RecordKind { name: VIEW_KIND, max_bytes: MAX_VIEW_BYTES, merge: merge_bytes, expires_at: None }
}
