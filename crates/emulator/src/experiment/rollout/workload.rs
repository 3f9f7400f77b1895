use bronzelb_kernel::{clock::TimeBudget, config::RolloutRule};

/// Requests of one route.
#[derive(Clone, Debug)]
pub struct RouteLoad {
    /// Name of the route.
    pub route: &'static str,
    /// Requests a second over all nodes.
    pub rate: f64,
    /// Median latency in microseconds.
    pub median_micros: f64,
}

/// A service's traffic, its nodes, and the move that is asked for.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Name for the report.
    pub name: &'static str,
    /// Data centres, each with one server of each version.
    pub data_centres: usize,
    /// Nodes in each data centre.
    pub nodes: usize,
    /// Routes of the service; the last one has one request in a hundred.
    pub routes: Vec<RouteLoad>,
    /// Time between the start of a move and its due time.
    pub span: TimeBudget,
    /// The service's rule.
    pub rule: RolloutRule,
    /// Share of requests that fail on a good version.
    pub usual_failures: f64,
    /// Spread of latencies: standard deviation of their logarithm.
    pub latency_spread: f64,
}

impl Workload {
    /// Hemelval's tracker: 120 requests a second, moved in ten minutes.
    #[must_use]
    pub fn hemelval() -> Self {
        Self::of("hemelval", 120.0, TimeBudget::from_secs(600))
    }

    /// Fraser Basin's readings: 40 requests a second, moved in half an hour.
    #[must_use]
    pub fn fraser() -> Self {
        Self::of("fraser", 40.0, TimeBudget::from_secs(1_800))
    }

    /// A service with `rate` requests a second, moved in `span`.
    #[must_use]
    pub fn of(name: &'static str, rate: f64, span: TimeBudget) -> Self {
        let load = |route, part, median_micros| RouteLoad {
            route,
            rate: rate * part,
            median_micros,
        };
        Self {
            name,
            data_centres: 3,
            nodes: 4,
            routes: vec![
                load("read", 0.84, 20_000.0),
                load("predict", 0.15, 60_000.0),
                load("export", 0.01, 150_000.0),
            ],
            span,
            rule: RolloutRule {
                first_share: "1%".parse().expect("a share"),
                min_requests: 20,
                hold: TimeBudget::from_secs(60),
            },
            usual_failures: 0.001,
            latency_spread: 0.6,
        }
    }
}
