use std::collections::BTreeMap;

use crate::{
    clock::{ClockInstant, TimeBudget},
    request::RunRank,
};

/// Time by which the deadline of a call may seem to exceed that of its run: the way from the node to
/// the server and back, and the rounding of both to milliseconds.
const DEADLINE_TOLERANCE: TimeBudget = TimeBudget::from_millis(10);

/// Number of a run in a [`RunRegistry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunNumber(u64);

/// Runs in progress on the backend servers beside a node.
///
/// A server's calls enter the mesh at the node beside it, like callers' requests. A call expires at
/// its run's deadline at the latest, so a request with a later deadline than every run is not a call.
/// If several runs qualify, the call gets the least urgent rank among them, so that a caller who
/// pretends to be a run gains nothing over the runs themselves.
///
/// # Examples
///
/// ```
/// use bronzelb_kernel::{
///     clock::ClockInstant,
///     request::{RunRank, RunRegistry},
/// };
///
/// let rank = RunRank { account: None };
/// let mut runs = RunRegistry::default();
/// runs.begin(ClockInstant::from_millis(500), rank.clone());
/// assert_eq!(runs.rank_of_call(ClockInstant::from_millis(400)), Some(&rank));
/// assert_eq!(runs.rank_of_call(ClockInstant::from_millis(900)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RunRegistry {
    next_number: u64,
    runs: BTreeMap<RunNumber, RunEntry>,
}

#[derive(Clone, Debug)]
struct RunEntry {
    deadline: ClockInstant,
    rank: RunRank,
}

impl RunRegistry {
    /// Adds a run that the server has been told to end by `deadline`.
    pub fn begin(&mut self, deadline: ClockInstant, rank: RunRank) -> RunNumber {
        let number = RunNumber(self.next_number);
        self.next_number += 1;
        self.runs.insert(number, RunEntry { deadline, rank });
        number
    }

    /// Removes a run that has ended.
    pub fn end(&mut self, number: RunNumber) {
        self.runs.remove(&number);
    }

    /// Returns the rank of a request with the given deadline if it may be a call of a run.
    #[must_use]
    pub fn rank_of_call(&self, deadline: ClockInstant) -> Option<&RunRank> {
        let runs = self.runs.values();
        let qualified = runs.filter(|run| run.deadline.after(DEADLINE_TOLERANCE) >= deadline);
        qualified
            .map(|run| &run.rank)
            .max_by_key(|rank| rank.priority())
    }
}
