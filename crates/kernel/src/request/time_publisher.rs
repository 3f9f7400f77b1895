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
/// Maximum number of published routes; a service has only a few with significant traffic.
const MAX_ROUTES: usize = 8;

/// Determines which service times of a backend server, by route, are published to the other nodes.
///
/// Published times are deliberately coarse, because every change is sent to every node.
#[derive(Clone, Debug, Default)]
pub struct TimePublisher {
    published: BTreeMap<RouteName, TimeBudget>,
    next_publication_at: ClockInstant,
}

impl TimePublisher {
    /// Updates the published times from `measured` and returns whether any has changed.
    pub fn update<'a>(
        &mut self,
        now: ClockInstant,
        measured: impl Iterator<Item = (&'a RouteName, TimeBudget)>,
    ) -> bool {
        if !self.next_publication_at.has_passed(now) {
            return false;
        }
        let mut is_changed = false;
        for (route, time) in measured {
            let published = self.published.get(route).copied();
            let has_capacity = published.is_some() || self.published.len() < MAX_ROUTES;
            if has_capacity
                && published.is_none_or(|published| is_significant_change(published, time))
            {
                self.published.insert(route.clone(), time);
                is_changed = true;
            }
        }
        if is_changed {
            self.next_publication_at = now.after(MIN_PUBLISH_INTERVAL);
        }
        is_changed
    }

    /// Returns the published time of each route.
    #[must_use]
    pub const fn published(&self) -> &BTreeMap<RouteName, TimeBudget> {
        &self.published
    }
}

fn is_significant_change(published: TimeBudget, time: TimeBudget) -> bool {
    let ratio = time.as_micros().max(1) as f64 / published.as_micros().max(1) as f64;
    !(1.0 / MAX_UNPUBLISHED_RATIO..=MAX_UNPUBLISHED_RATIO).contains(&ratio)
}
