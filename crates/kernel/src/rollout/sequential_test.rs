use std::collections::BTreeMap;

use crate::ids::BackendName;

const START_WEIGHT: f64 = 0.5;
const LARGEST_WEALTH: f64 = 1e200;

/// Events of one kind on a route in one interval, per server of the new version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EventBin {
    /// Requests and events on the old version.
    pub old: EventCount,
    /// Requests and events on each server of the new version.
    pub new: BTreeMap<BackendName, EventCount>,
}

/// Requests, and the events among them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EventCount {
    /// Requests.
    pub requests: f64,
    /// Events among them.
    pub events: f64,
}

impl EventCount {
    /// Adds another count.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.events += other.events;
    }

    /// Returns the share of requests with an event.
    #[must_use]
    pub fn event_rate(self) -> f64 {
        if self.requests > 0.0 {
            self.events / self.requests
        } else {
            0.0
        }
    }
}

/// Sequential test of whether events fall on the new version more often than its share of the
/// requests explains.
///
/// Under the null hypothesis the events of an interval fall on its requests at random, whatever
/// the rate of events is and however it changes: the number on the new version follows the
/// hypergeometric distribution, which the binomial one bounds in convex order. The wealth is a
/// likelihood ratio against that, averaged over several odds ratios and over the interval in
/// which the fault may have begun, so its expectation never exceeds one: it passes `1 / alpha`
/// with a probability of at most `alpha`, however often one looks (Ville's inequality).
///
/// The test also runs once without each server of the new version, and the smallest of these
/// wealths must pass a limit of its own, so one sick server does not speak for its version.
#[derive(Clone, Debug)]
pub struct SequentialTest {
    odds: &'static [f64],
    restart_weight: f64,
    whole: WealthMix,
    without: BTreeMap<BackendName, WealthMix>,
}

#[derive(Clone, Debug)]
struct WealthMix {
    wealth: Vec<f64>,
}

impl SequentialTest {
    /// Builds a test against the odds ratios, for a move of about `intervals` intervals.
    #[must_use]
    pub fn new(odds: &'static [f64], intervals: f64) -> Self {
        Self {
            odds,
            restart_weight: (1.0 - START_WEIGHT) / intervals.max(1.0),
            whole: WealthMix {
                wealth: vec![START_WEIGHT; odds.len()],
            },
            without: BTreeMap::new(),
        }
    }

    /// Takes in an interval.
    pub fn observe(&mut self, bin: &EventBin) {
        for server in bin.new.keys() {
            if !self.without.contains_key(server) {
                self.without.insert(server.clone(), self.whole.clone());
            }
        }
        let mut all = EventCount::default();
        bin.new.values().for_each(|count| all.add(*count));
        self.whole
            .observe(self.odds, self.restart_weight, bin.old, all);
        for (server, mix) in &mut self.without {
            let own = bin.new.get(server).copied().unwrap_or_default();
            let rest = EventCount {
                requests: all.requests - own.requests,
                events: all.events - own.events,
            };
            mix.observe(self.odds, self.restart_weight, bin.old, rest);
        }
    }

    /// Returns the wealth of the whole version, and the smallest wealth without one of its
    /// servers; the same wealth twice where it has one server only.
    #[must_use]
    pub fn wealth(&self) -> (f64, f64) {
        let whole = self.whole.mean();
        if self.without.len() < 2 {
            return (whole, whole);
        }
        let rest = self.without.values().map(WealthMix::mean);
        (whole, rest.fold(f64::INFINITY, f64::min))
    }

    /// Returns whether the wealth passes `limit`, and `rest_limit` without any one server.
    #[must_use]
    pub fn rejects_null(&self, limit: f64, rest_limit: f64) -> bool {
        let (whole, rest) = self.wealth();
        whole >= limit && rest >= rest_limit
    }
}

impl WealthMix {
    fn observe(&mut self, odds: &[f64], restart_weight: f64, old: EventCount, new: EventCount) {
        if old.requests <= 0.0 || new.requests <= 0.0 {
            return;
        }
        let part = new.requests / (old.requests + new.requests);
        for (wealth, odds) in self.wealth.iter_mut().zip(odds) {
            let tilted = odds * part / (odds * part + 1.0 - part);
            let on_new = new.events * (tilted / part).ln();
            let on_old = old.events * ((1.0 - tilted) / (1.0 - part)).ln();
            *wealth = (*wealth + restart_weight) * (on_new + on_old).exp();
            *wealth = wealth.min(LARGEST_WEALTH);
        }
    }

    fn mean(&self) -> f64 {
        self.wealth.iter().sum::<f64>() / self.wealth.len() as f64
    }
}
