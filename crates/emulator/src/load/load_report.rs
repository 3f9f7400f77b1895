use std::{collections::BTreeMap, fmt};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::{CallOutcome, CallRecord};

/// Latency percentiles in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LatencySummary {
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
}

/// Results of one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteReport {
    /// Name of the route.
    pub name: String,
    /// Requests sent during the measurement.
    pub sent: u64,
    /// Requests not sent because too many were in flight.
    pub unsent: u64,
    /// Attempts by the caller, including retries.
    pub attempts: u64,
    /// Calls completed by their deadline.
    pub in_time: u64,
    /// Number of calls by outcome.
    pub outcomes: BTreeMap<CallOutcome, u64>,
    /// Number of failed calls by error.
    pub errors: BTreeMap<String, u64>,
    /// Number of completed calls by the version that served them.
    pub builds: BTreeMap<String, u64>,
    /// Latencies of the completed calls.
    pub done: LatencySummary,
    /// Latencies of the failed calls, up to their final response.
    pub refused: LatencySummary,
}

/// Results of a load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// Seed of the load.
    pub seed: u64,
    /// Scheduled request rate per second.
    pub rate: f64,
    /// Duration of the measurement in seconds.
    pub seconds: f64,
    /// Results of all routes combined.
    pub total: RouteReport,
    /// Results by route.
    pub routes: Vec<RouteReport>,
    /// Delay between the scheduled and the actual send time, caused by the generator itself.
    pub send_lag: LatencySummary,
    /// Calls completed during the warm-up.
    pub warm_up_done: u64,
    /// Individually recorded calls.
    #[serde(skip)]
    pub records: Vec<CallRecord>,
}

impl LatencySummary {
    pub(crate) fn of(micros: &Histogram<u64>) -> Self {
        Self {
            p50_us: micros.value_at_quantile(0.5),
            p90_us: micros.value_at_quantile(0.9),
            p99_us: micros.value_at_quantile(0.99),
            p999_us: micros.value_at_quantile(0.999),
            max_us: micros.max(),
        }
    }
}

impl RouteReport {
    /// Returns the number of calls with an outcome.
    #[must_use]
    pub fn count(&self, outcome: CallOutcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Returns the fraction of scheduled calls completed by their deadline.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / (self.sent + self.unsent).max(1) as f64
    }
}

impl LoadReport {
    /// Returns the number of calls per second completed by their deadline.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.total.in_time as f64 / self.seconds
    }

    /// Returns the results of the route `name`.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<&RouteReport> {
        self.routes.iter().find(|route| route.name == name)
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "load: seed {}, {} requests/s for {} s, goodput {:.1}/s, generator lag p99 {} us",
            self.seed,
            self.rate,
            self.seconds,
            self.goodput(),
            self.send_lag.p99_us
        )?;
        for route in self.routes.iter().chain([&self.total]) {
            write!(f, "{route}")?;
        }
        Ok(())
    }
}

impl fmt::Display for RouteReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "  {}: sent {}", self.name, self.sent)?;
        if self.unsent > 0 {
            write!(f, ", unsent {}", self.unsent)?;
        }
        write!(f, ", in time {}", self.in_time)?;
        for (outcome, count) in &self.outcomes {
            write!(f, ", {outcome:?} {count}")?;
        }
        writeln!(f, ", done {}, refused {}", self.done, self.refused)?;
        for (error, count) in &self.errors {
            writeln!(f, "    {count} x {error}")?;
        }
        Ok(())
    }
}

impl fmt::Display for LatencySummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "p50/p99/max {}/{}/{} us",
            self.p50_us, self.p99_us, self.max_us
        )
    }
}
