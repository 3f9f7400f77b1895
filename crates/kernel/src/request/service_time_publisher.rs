use std::collections::BTreeMap;

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::RouteName,
};

/// Ratio between two times of a route below which the other nodes need not hear of the change.
const NEWS_RATIO: f64 = 1.35;
/// Time between two announcements, so that a server that swings does not flood the mesh.
const NEWS_PAUSE: TimeBudget = TimeBudget::from_secs(3);
/// Routes that are told of; a service has a handful that matter.
const MAX_ROUTES: usize = 8;

/// What the other nodes are told of the time that a server's requests take.
///
/// The times are rough on purpose: each change costs a message on its way to every node.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimePublisher {
    told: BTreeMap<RouteName, TimeBudget>,
    next_at: ClockInstant,
}

impl ServiceTimePublisher {
    /// Takes in the times that were measured and returns whether the told ones have changed.
    pub fn update<'a>(
        &mut self,
        now: ClockInstant,
        measured: impl Iterator<Item = (&'a RouteName, TimeBudget)>,
    ) -> bool {
        if !self.next_at.has_passed(now) {
            return false;
        }
        let mut is_changed = false;
        for (route, time) in measured {
            let told = self.told.get(route).copied();
            let has_room = told.is_some() || self.told.len() < MAX_ROUTES;
            if has_room && told.is_none_or(|told| is_news(told, time)) {
                self.told.insert(route.clone(), time);
                is_changed = true;
            }
        }
        if is_changed {
            self.next_at = now.after(NEWS_PAUSE);
        }
        is_changed
    }

    /// Returns the times as the other nodes are told.
    #[must_use]
    pub const fn published(&self) -> &BTreeMap<RouteName, TimeBudget> {
        &self.told
    }
}

fn is_news(told: TimeBudget, time: TimeBudget) -> bool {
    let ratio = time.as_micros().max(1) as f64 / told.as_micros().max(1) as f64;
    !(1.0 / NEWS_RATIO..=NEWS_RATIO).contains(&ratio)
}
