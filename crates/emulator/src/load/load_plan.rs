use std::{net::SocketAddr, str::FromStr, time::Duration};

use bronzelb_kernel::{clock::TimeBudget, error::MeshError};

use crate::load::LoadRoute;

const MAX_IN_FLIGHT: usize = 20_000;
const MAX_RECORDS: usize = 1_000_000;

/// How the caller selects the target address of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPolicy {
    /// Selects an address at random and does not retry, like a caller of the mesh.
    Random,
    /// Selects addresses in turn and retries up to this many times after any failure, without
    /// backoff: the baseline of a client that balances its own load.
    RoundRobin(u32),
}

/// Parameters of an open-loop load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPlan {
    /// Seed of the arrivals, routes and addresses.
    pub seed: u64,
    /// Addresses of nodes, or of backend servers in a baseline.
    pub targets: Vec<SocketAddr>,
    /// How the target address of each request is selected.
    pub policy: TargetPolicy,
    /// Request rate per second.
    pub rate: f64,
    /// Duration of the measured load.
    pub duration: TimeBudget,
    /// Duration of the unmeasured load that precedes it.
    pub warm_up: TimeBudget,
    /// Routes to send requests to.
    pub routes: Vec<LoadRoute>,
    /// Maximum number of requests in flight; further requests are counted as unsent.
    pub max_in_flight: usize,
    /// Maximum number of calls that are recorded individually.
    pub max_records: usize,
    /// Time by which the client timeout exceeds a request's deadline.
    pub deadline_grace: Duration,
}

impl LoadPlan {
    /// Creates a load of 100 requests per second for 5 s, without routes.
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

    /// Sets the request rate per second.
    #[must_use]
    pub const fn with_rate(mut self, rate: f64) -> Self {
        self.rate = rate;
        self
    }

    /// Sets the duration of the measured load.
    #[must_use]
    pub const fn with_duration(mut self, duration: TimeBudget) -> Self {
        self.duration = duration;
        self
    }

    /// Sets the duration of the unmeasured load before the measurement.
    #[must_use]
    pub const fn with_warm_up(mut self, warm_up: TimeBudget) -> Self {
        self.warm_up = warm_up;
        self
    }

    /// Sets how the target address of each request is selected.
    #[must_use]
    pub const fn with_policy(mut self, policy: TargetPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Adds a route.
    #[must_use]
    pub fn with_route(mut self, route: LoadRoute) -> Self {
        self.routes.push(route);
        self
    }

    /// Records each call individually, up to a million calls.
    #[must_use]
    pub const fn with_records(mut self) -> Self {
        self.max_records = MAX_RECORDS;
        self
    }

    /// Validates the plan.
    ///
    /// # Errors
    ///
    /// `Invalid` when the plan has no target address, no route with a weight or no positive rate.
    pub(crate) fn check(&self) -> Result<(), MeshError> {
        let problem = if self.targets.is_empty() {
            "load plan has no target address"
        } else if !self.routes.iter().any(|route| route.weight > 0) {
            "load plan has no route with a non-zero weight"
        } else if !(self.rate.is_finite() && self.rate > 0.0) {
            "load plan's rate is not a positive number"
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
