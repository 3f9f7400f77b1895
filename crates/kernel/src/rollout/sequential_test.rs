use std::collections::BTreeMap;

use crate::ids::BackendName;

/// Prior probability of a fault from the start of a move; the rest covers later intervals.
const INITIAL_WEIGHT: f64 = 0.5;
/// Upper bound of the wealth, which keeps it finite.
const MAX_WEALTH: f64 = 1e200;

/// Events of one kind on a route in one interval, by server for the new version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EventBin {
    /// Requests and events on the old version.
    pub old: EventCount,
    /// Requests and events on each server of the new version.
    pub new: BTreeMap<BackendName, EventCount>,
}

/// Number of requests and of events among them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EventCount {
    /// Requests.
    pub requests: f64,
    /// Requests with an event.
    pub events: f64,
}

impl EventCount {
    /// Adds another count.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.events += other.events;
    }

    /// Returns the rate of requests with an event, or zero without requests.
    #[must_use]
    pub fn event_rate(self) -> f64 {
        if self.requests > 0.0 {
            self.events / self.requests
        } else {
            0.0
        }
    }
}

/// Sequential test of whether events are more frequent on the new version than its share of the
/// requests explains.
///
/// Under the null hypothesis the events of an interval are distributed over its requests at
/// random, at any event rate and any change of it. The number of events on the new version then
/// follows the hypergeometric distribution, which the binomial distribution bounds in convex order.
/// The wealth is a likelihood ratio against this hypothesis, averaged over several odds ratios and
/// over the interval in which the fault may have begun, so its expectation never exceeds one. By
/// Ville's inequality it reaches `1 / alpha` with a probability of at most `alpha`, no matter how
/// often it is evaluated.
///
/// The test also runs with each server of the new version left out. The smallest wealth of these
/// tests must reach a threshold of its own, so a single faulty server does not reject the version.
#[derive(Clone, Debug)]
pub struct SequentialTest {
    odds_ratios: &'static [f64],
    /// Prior probability that a fault begins in a given later interval.
    onset_weight: f64,
    all_servers: WealthMixture,
    leave_one_out: BTreeMap<BackendName, WealthMixture>,
}

/// Wealth for each odds ratio, with their mean as the wealth of the test.
#[derive(Clone, Debug)]
struct WealthMixture {
    wealth: Vec<f64>,
}

impl SequentialTest {
    /// Creates a test of the given odds ratios for a move of about `intervals` intervals.
    #[must_use]
    pub fn new(odds_ratios: &'static [f64], intervals: f64) -> Self {
        Self {
            odds_ratios,
            onset_weight: (1.0 - INITIAL_WEIGHT) / intervals.max(1.0),
            all_servers: WealthMixture {
                wealth: vec![INITIAL_WEIGHT; odds_ratios.len()],
            },
            leave_one_out: BTreeMap::new(),
        }
    }

    /// Adds the events of one interval.
    pub fn observe(&mut self, bin: &EventBin) {
        for server in bin.new.keys() {
            if !self.leave_one_out.contains_key(server) {
                self.leave_one_out
                    .insert(server.clone(), self.all_servers.clone());
            }
        }
        let mut all = EventCount::default();
        bin.new.values().for_each(|count| all.add(*count));
        self.all_servers
            .observe(self.odds_ratios, self.onset_weight, bin.old, all);
        for (server, mixture) in &mut self.leave_one_out {
            let own = bin.new.get(server).copied().unwrap_or_default();
            let rest = EventCount {
                requests: all.requests - own.requests,
                events: all.events - own.events,
            };
            mixture.observe(self.odds_ratios, self.onset_weight, bin.old, rest);
        }
    }

    /// Returns the wealth over all servers and the smallest wealth with one server left out.
    ///
    /// Both are equal for a version with fewer than two servers.
    #[must_use]
    pub fn wealth(&self) -> (f64, f64) {
        let total = self.all_servers.mean();
        if self.leave_one_out.len() < 2 {
            return (total, total);
        }
        let wealths = self.leave_one_out.values().map(WealthMixture::mean);
        (total, wealths.fold(f64::INFINITY, f64::min))
    }

    /// Returns whether the wealth reaches `threshold` and every wealth with one server left out
    /// reaches `leave_one_out_threshold`.
    #[must_use]
    pub fn rejects_null(&self, threshold: f64, leave_one_out_threshold: f64) -> bool {
        let (total, least) = self.wealth();
        total >= threshold && least >= leave_one_out_threshold
    }
}

impl WealthMixture {
    fn observe(
        &mut self,
        odds_ratios: &[f64],
        onset_weight: f64,
        old: EventCount,
        new: EventCount,
    ) {
        if old.requests <= 0.0 || new.requests <= 0.0 {
            return;
        }
        let share = new.requests / (old.requests + new.requests);
        for (wealth, odds) in self.wealth.iter_mut().zip(odds_ratios) {
            let tilted = odds * share / (odds * share + 1.0 - share);
            let on_new = new.events * (tilted / share).ln();
            let on_old = old.events * ((1.0 - tilted) / (1.0 - share)).ln();
            *wealth = (*wealth + onset_weight) * (on_new + on_old).exp();
            *wealth = wealth.min(MAX_WEALTH);
        }
    }

    fn mean(&self) -> f64 {
        self.wealth.iter().sum::<f64>() / self.wealth.len() as f64
    }
}
