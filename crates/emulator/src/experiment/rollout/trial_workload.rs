use bronzelb_kernel::{clock::TimeBudget, config::RolloutRule};

/// Traffic of one route.
#[derive(Clone, Debug)]
pub struct RouteLoad {
    /// Name of the route.
    pub route: &'static str,
    /// Requests per second over all nodes.
    pub rate: f64,
    /// Median latency in microseconds.
    pub median_latency_us: f64,
}

/// Traffic of a service, its nodes, and the requested move.
#[derive(Clone, Debug)]
pub struct TrialWorkload {
    /// Name in the report.
    pub name: &'static str,
    /// Number of data centres, each with one server of each version.
    pub data_centres: usize,
    /// Nodes in each data centre.
    pub nodes_per_data_centre: usize,
    /// Routes of the service. The last one has 1% of the requests.
    pub routes: Vec<RouteLoad>,
    /// Time from the start of the move to its deadline.
    pub duration: TimeBudget,
    /// Rollout rule of the service.
    pub rule: RolloutRule,
    /// Share of requests that fail without an injected fault.
    pub failure_rate: f64,
    /// Standard deviation of the logarithm of the latency.
    pub latency_sigma: f64,
}

impl TrialWorkload {
    /// Creates the workload of Hemelval's tracker: 120 requests per second, moved in ten minutes.
    #[must_use]
    pub fn hemelval() -> Self {
        Self::with_rate("hemelval", 120.0, TimeBudget::from_secs(600))
    }

    /// Creates the workload of Fraser Basin's readings: 40 requests per second, moved in half an
    /// hour.
    #[must_use]
    pub fn fraser() -> Self {
        Self::with_rate("fraser", 40.0, TimeBudget::from_secs(1_800))
    }

    /// Creates a workload of `rate` requests per second, moved in `duration`.
    #[must_use]
    pub fn with_rate(name: &'static str, rate: f64, duration: TimeBudget) -> Self {
        let route_load = |route, share, median_latency_us| RouteLoad {
            route,
            rate: rate * share,
            median_latency_us,
        };
        Self {
            name,
            data_centres: 3,
            nodes_per_data_centre: 4,
            routes: vec![
                route_load("read", 0.84, 20_000.0),
                route_load("predict", 0.15, 60_000.0),
                route_load("export", 0.01, 150_000.0),
            ],
            duration,
            rule: RolloutRule {
                first_share: "1%".parse().expect("a share"),
                min_requests: 20,
                hold: TimeBudget::from_secs(60),
            },
            failure_rate: 0.001,
            latency_sigma: 0.6,
        }
    }
}
