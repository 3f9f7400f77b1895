use std::collections::BTreeMap;

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::RouteName,
};

/// Ratio between the published and the measured time of a route, in either direction, up to which
/// the measured time is not published.
const MAX_UNPUBLISHED_RATIO: f64 = 1.35;
/// Minimum interval between two publications, so that a server with fluctuating times does not
/// flood the mesh.
const MIN_PUBLISH_INTERVAL: TimeBudget = TimeBudget::from_secs(3);
/// Publications per second of all nodes together. Every one of them reaches every node, so the
/// interval between two publications of one node grows with the number of nodes.
const MESH_PUBLICATIONS_PER_SECOND: u64 = 20;
/// Ratio from which a change is published after [`MIN_PUBLISH_INTERVAL`] in a mesh of any size,
/// because it changes which servers can answer in time.
const LARGE_CHANGE_RATIO: f64 = 2.0;
/// Maximum number of published routes; a service has only a few with significant traffic.
const MAX_ROUTES: usize = 8;

/// Determines which service times of a backend server, by route, are published to the other nodes.
///
/// Published times are deliberately coarse, because every change is sent to every node.
#[derive(Clone, Debug, Default)]
pub struct TimePublisher {
    published: BTreeMap<RouteName, TimeBudget>,
    published_at: Option<ClockInstant>,
}

impl TimePublisher {
    /// Updates the published times from `measured` and returns whether any has changed.
    ///
    /// `members` is the number of nodes in the mesh.
    pub fn update<'a>(
        &mut self,
        now: ClockInstant,
        members: usize,
        measured: impl Iterator<Item = (&'a RouteName, TimeBudget)>,
    ) -> bool {
        if !self.is_due(now, MIN_PUBLISH_INTERVAL) {
            return false;
        }
        let is_any_due = self.is_due(now, publish_interval(members));
        let mut is_changed = false;
        for (route, time) in measured {
            let published = self.published.get(route).copied();
            let has_capacity = published.is_some() || self.published.len() < MAX_ROUTES;
            let is_significant = published.is_none_or(|published| {
                let ratio = if is_any_due {
                    MAX_UNPUBLISHED_RATIO
                } else {
                    LARGE_CHANGE_RATIO
                };
                is_significant_change(published, time, ratio)
            });
            if has_capacity && is_significant {
                self.published.insert(route.clone(), time);
                is_changed = true;
            }
        }
        if is_changed {
            self.published_at = Some(now);
        }
        is_changed
    }

    fn is_due(&self, now: ClockInstant, interval: TimeBudget) -> bool {
        let published_at = self.published_at;
        published_at.is_none_or(|instant| instant.after(interval).has_passed(now))
    }

    /// Returns the published time of each route.
    #[must_use]
    pub const fn published(&self) -> &BTreeMap<RouteName, TimeBudget> {
        &self.published
    }
}

/// Returns the minimum interval between two publications of one node of a mesh.
fn publish_interval(members: usize) -> TimeBudget {
    let millis = members as u64 * 1_000 / MESH_PUBLICATIONS_PER_SECOND;
    MIN_PUBLISH_INTERVAL.max(TimeBudget::from_millis(millis))
}

fn is_significant_change(published: TimeBudget, time: TimeBudget, max_ratio: f64) -> bool {
    let ratio = time.as_micros().max(1) as f64 / published.as_micros().max(1) as f64;
    !(1.0 / max_ratio..=max_ratio).contains(&ratio)
}
