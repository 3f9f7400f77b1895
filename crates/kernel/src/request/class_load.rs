use std::collections::BTreeMap;

use crate::{
    clock::{ClockInstant, TimeBudget},
    config::RequestPriority,
};

/// Time constant of the moving sum of started work: some service times, so that it is not noise,
/// and far below the seconds in which load swings.
const LOAD_TIME: TimeBudget = TimeBudget::from_secs(1);
/// Maximum share of the capacity that counts as taken; the rest lets a class find out that the load
/// has fallen.
const MAX_SHARE: f64 = 0.95;
/// Number of classes whose work is kept; the class with the least work is dropped for a new one.
const MAX_CLASSES: usize = 32;

/// Priority of a request's account and of its route, and whether it begins a run; lower ones start
/// first.
pub(crate) type LoadClass = (Option<RequestPriority>, RequestPriority, bool);

/// Work that has recently started, by class.
///
/// Answers the load of urgent requests that keep overtaking waiting ones: the requests that are
/// ahead of a request on its arrival say nothing of those.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassLoad {
    work: BTreeMap<LoadClass, StartedWork>,
}

/// Sum of the service time of started requests, which decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct StartedWork {
    micros: f64,
    at: ClockInstant,
}

impl StartedWork {
    fn micros_at(self, now: ClockInstant) -> f64 {
        let age = self.at.elapsed(now).as_secs_f64() / LOAD_TIME.as_secs_f64();
        self.micros * (-age).exp()
    }
}

impl ClassLoad {
    /// Records a request that starts now and is expected to take `cost`.
    pub(crate) fn record_start(&mut self, now: ClockInstant, class: LoadClass, cost: TimeBudget) {
        if !self.work.contains_key(&class) && self.work.len() >= MAX_CLASSES {
            let work = self.work.iter();
            let least = work.min_by(|(_, a), (_, b)| a.micros_at(now).total_cmp(&b.micros_at(now)));
            if let Some(class) = least.map(|(class, _)| *class) {
                self.work.remove(&class);
            }
        }
        let work = self.work.entry(class).or_default();
        work.micros = work.micros_at(now) + cost.as_micros() as f64;
        work.at = now;
    }

    /// Returns the share of the capacity of `slots` slots that more urgent classes take.
    pub(crate) fn share_before(&self, now: ClockInstant, class: LoadClass, slots: u32) -> f64 {
        let urgent = self.work.range(..class);
        let micros: f64 = urgent.map(|(_, work)| work.micros_at(now)).sum();
        let capacity = f64::from(slots.max(1)) * LOAD_TIME.as_micros() as f64;
        (micros / capacity).min(MAX_SHARE)
    }
}
