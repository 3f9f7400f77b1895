use std::{net::SocketAddr, str::FromStr, time::Duration};

use bronzelb_kernel::{clock::TimeBudget, error::MeshError};

use crate::load::LoadRoute;

const MAX_IN_FLIGHT: usize = 20_000;
const MAX_RECORDS: usize = 1_000_000;

/// How the caller chooses the address of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPolicy {
    /// One address at random, without retries: a caller of the mesh.
    Random,
    /// The addresses in turn, with this many plain retries after any failure: the baseline of a
    /// caller that balances its own load.
    RoundRobin(u32),
}

/// An open-loop load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPlan {
    /// Seed of the arrivals, routes and addresses.
    pub seed: u64,
    /// Addresses of nodes, or of backend servers for a baseline.
    pub targets: Vec<SocketAddr>,
    /// How a request's address is chosen.
    pub policy: TargetPolicy,
    /// Requests a second.
    pub rate: f64,
    /// Time for which requests are sent and measured.
    pub duration: TimeBudget,
    /// Time before that for which requests are sent and not measured.
    pub warm_up: TimeBudget,
    /// Kinds of requests.
    pub routes: Vec<LoadRoute>,
    /// Requests in flight above which further ones are counted as unsent.
    pub max_in_flight: usize,
    /// Number of calls whose outcome is recorded one by one.
    pub max_records: usize,
    /// Time that the caller waits beyond a request's deadline.
    pub deadline_grace: Duration,
}

impl LoadPlan {
    /// Builds a load of 100 requests a second for 5 s, without routes.
    pub fn new(targets: impl Into<Vec<SocketAddr>>) -> Self {
        Self {
            seed: 1,
            targets: targets.into(),
            policy: TargetPolicy::Random,
            rate: 100.0,
            duration: TimeBudget::from_secs(5),
            warm_up: TimeBudget::ZERO,
            routes: Vec::new(),
            max_in_flight: MAX_IN_FLIGHT,
            max_records: 0,
            deadline_grace: Duration::from_secs(1),
        }
    }

    /// Sets the seed.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the requests a second.
    #[must_use]
    pub const fn with_rate(mut self, rate: f64) -> Self {
        self.rate = rate;
        self
    }

    /// Sets the time for which requests are measured.
    #[must_use]
    pub const fn with_duration(mut self, duration: TimeBudget) -> Self {
        self.duration = duration;
        self
    }

    /// Sets the time for which requests are sent before they are measured.
    #[must_use]
    pub const fn with_warm_up(mut self, warm_up: TimeBudget) -> Self {
        self.warm_up = warm_up;
        self
    }

    /// Sets how a request's address is chosen.
    #[must_use]
    pub const fn with_policy(mut self, policy: TargetPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Adds a kind of request.
    #[must_use]
    pub fn with_route(mut self, route: LoadRoute) -> Self {
        self.routes.push(route);
        self
    }

    /// Records the outcome of each call, up to a million.
    #[must_use]
    pub const fn with_records(mut self) -> Self {
        self.max_records = MAX_RECORDS;
        self
    }

    /// Checks that the load can be generated.
    ///
    /// # Errors
    ///
    /// `Invalid` names what is missing.
    pub(crate) fn check(&self) -> Result<(), MeshError> {
        let problem = if self.targets.is_empty() {
            "the load has no address"
        } else if !self.routes.iter().any(|route| route.weight > 0) {
            "the load has no route with a weight"
        } else if !(self.rate.is_finite() && self.rate > 0.0) {
            "the load's rate is not above zero"
        } else {
            return Ok(());
        };
        Err(MeshError::invalid(problem))
    }
}

impl FromStr for TargetPolicy {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == "random" {
            return Ok(Self::Random);
        }
        text.strip_prefix("round-robin:")
            .and_then(|retries| retries.parse().ok())
            .map(Self::RoundRobin)
            .ok_or_else(|| {
                MeshError::invalid(format!(
                    "policy {text:?} is not \"random\" or \"round-robin:RETRIES\""
                ))
            })
    }
}
