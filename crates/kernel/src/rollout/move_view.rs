use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockInstant,
    config::ShareRatio,
    error::MeshError,
    ids::{DataCentre, MoveNumber, RouteName},
    plugin::RecordKind,
};

/// Name of the record kind that carries [`MoveView`]s, under `SERVICE/DATA_CENTRE`.
pub const VIEW_KIND: &str = "move-view";

const MAX_VIEW_BYTES: usize = 16 * 1_024;

/// What a judge of a move tells the other nodes, so that they can work out their shares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveView {
    /// Move that the view is about.
    pub number: MoveNumber,
    /// When the view was taken, by the judge's clock.
    pub taken_at: ClockInstant,
    /// What was seen of each route.
    pub routes: BTreeMap<RouteName, RouteTally>,
    /// Since when the share has been whole without a doubt.
    #[serde(rename = "whole_since")]
    pub full_share_since: Option<ClockInstant>,
    /// Data centres whose evidence was heard lately.
    pub heard: Vec<DataCentre>,
}

/// Requests of a route by version, and a doubt about the new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// Requests on the old version.
    pub old: u64,
    /// Requests on the new version.
    pub new: u64,
    /// Share to which a doubt lowers the new version's.
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
    /// Builds the view of a judge that has seen nothing.
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

    /// Returns whether this view replaces `held`: that of a later move, or a later one.
    #[must_use]
    pub fn replaces(&self, held: &Self) -> bool {
        let order = (self.number, self.taken_at);
        match order.cmp(&(held.number, held.taken_at)) {
            std::cmp::Ordering::Equal => self.to_bytes() > held.to_bytes(),
            order => order.is_gt(),
        }
    }

    /// Returns whether a node would work out other shares than by `told`, so that this view must
    /// be told at once.
    #[must_use]
    pub fn differs_from(&self, told: &Self, needed: u64) -> bool {
        let doubts = |view: &Self| -> Vec<Option<ShareRatio>> {
            view.routes
                .values()
                .map(|tally| tally.recheck_share)
                .collect()
        };
        let has_grown = |(route, tally): (&RouteName, &RouteTally)| {
            let before = told.routes.get(route).copied().unwrap_or_default();
            before.new < needed && tally.new > before.new
        };
        self.number != told.number
            || self.full_share_since != told.full_share_since
            || doubts(self) != doubts(told)
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
            .map_err(|error| MeshError::invalid(format!("move view is malformed: {error}")))
    }
}

fn merge_bytes(held: Option<&[u8]>, received: &[u8]) -> Result<Vec<u8>, MeshError> {
    let received = MoveView::from_bytes(received)?;
    let Some(held) = held else {
        return Ok(received.to_bytes());
    };
    let held = MoveView::from_bytes(held)?;
    let merged = if received.replaces(&held) {
        received
    } else {
        held
    };
    Ok(merged.to_bytes())
}

inventory::submit! {
    RecordKind { name: VIEW_KIND, max_bytes: MAX_VIEW_BYTES, merge: merge_bytes }
}
