use std::collections::BTreeMap;

use crate::{clock::TimeBudget, ids::RouteName};

/// The longest wait that callers of each route have announced.
///
/// Callers of one route share a deadline, and one that comes back after a refusal has used a part
/// of it. Its answer is wanted sooner, and is late sooner, than that of a caller that has just come.
#[derive(Clone, Debug, Default)]
pub struct CallerPatience {
    longest: BTreeMap<RouteName, TimeBudget>,
}

impl CallerPatience {
    /// Takes in how long a caller is ready to wait, and returns how long it has waited already, as
    /// far as that shows.
    pub fn note(&mut self, route: &RouteName, wait: TimeBudget) -> TimeBudget {
        if let Some(longest) = self.longest.get_mut(route) {
            *longest = wait.max(*longest);
            return wait.shortfall_from(*longest);
        }
        self.longest.insert(route.clone(), wait);
        TimeBudget::ZERO
    }
}
