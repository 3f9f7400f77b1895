use bronzelb_kernel::clock::TimeBudget;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Mean time between the starts of consecutive faults; most faults last longer, so they overlap.
const MEAN_FAULT_INTERVAL_MS: u64 = 700;
const MIN_FAULT_MS: u64 = 300;
const MAX_FAULT_MS: u64 = 3_000;
/// Minimum duration of a stated limit, which binds only after some seconds.
const MIN_LIMIT_MS: u64 = 5_000;
const MAX_LIMIT_MS: u64 = 9_000;
/// Fault-free time at the start and at the end of a run.
const FAULT_FREE_MS: u64 = 1_000;

/// Fault that a soak run injects from outside the processes.
///
/// Nodes are counted from 0 and data centres from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// Kills a node and restarts it at the end.
    KillNode(usize),
    /// Shuts a node down gracefully and restarts it at the end.
    StopNode(usize),
    /// Pauses a node's process.
    PauseNode(usize),
    /// Kills a node's backend server and starts a replacement at the end.
    KillServer(usize),
    /// Drains a node's backend server and starts a replacement at the end.
    DrainServer(usize),
    /// Pauses a node's backend server.
    PauseServer(usize),
    /// Makes backend servers truncate, corrupt, duplicate or drop some of their responses.
    CorruptResponses,
    /// Partitions two data centres; connections are reset, or stall if the flag is set.
    Partition(u8, u8, bool),
    /// Lets requests leave a data centre but drops the responses to them.
    PartitionOneWay(u8),
    /// Delays all traffic between nodes by this many milliseconds.
    Delay(u64),
    /// Makes the platform close every connection.
    PlatformUnavailable,
    /// Makes the platform accept requests without responding.
    PlatformUnresponsive,
    /// Makes the platform apply writes but lose the responses.
    PlatformLosesResponses,
    /// Makes every backend server state this limit, in requests per second.
    LimitServers(u64),
    /// Publishes a new configuration version at the start.
    Publish,
}

/// Fault with its start and end relative to the start of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Fault to inject.
    pub fault: SoakFault,
    /// Time from the start of the load to the injection of the fault.
    pub start: TimeBudget,
    /// Time from the start of the load to the removal of the fault.
    pub end: TimeBudget,
}

/// Fault schedule of one run; the same seed yields the same plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakPlan {
    /// Seed of every random choice in the run.
    pub seed: u64,
    /// Duration of the load.
    pub duration: TimeBudget,
    /// Number of nodes in all data centres together.
    pub nodes: usize,
    /// Number of data centres.
    pub centres: u8,
    /// Scheduled faults, ordered by start time.
    pub faults: Vec<ScheduledFault>,
}

impl SoakPlan {
    /// Generates a plan from a seed.
    #[must_use]
    pub fn generate(seed: u64, duration: TimeBudget, centres: u8, nodes_per_centre: u8) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = usize::from(centres) * usize::from(nodes_per_centre);
        let mut faults: Vec<ScheduledFault> = Vec::new();
        let last_end_ms = duration.as_millis().saturating_sub(FAULT_FREE_MS);
        let mut start_ms = FAULT_FREE_MS;
        while start_ms + MIN_FAULT_MS < last_end_ms {
            let fault = random_fault(&mut rng, nodes, centres);
            let length = match fault {
                SoakFault::LimitServers(_) => MIN_LIMIT_MS..=MAX_LIMIT_MS,
                _ => MIN_FAULT_MS..=MAX_FAULT_MS,
            };
            let end_ms = start_ms + rng.random_range(length);
            let scheduled = ScheduledFault {
                fault,
                start: TimeBudget::from_millis(start_ms),
                end: TimeBudget::from_millis(end_ms.min(last_end_ms)),
            };
            // Each process, and the platform, has at most one fault at a time.
            if !faults.iter().any(|other| other.conflicts_with(&scheduled)) {
                faults.push(scheduled);
            }
            start_ms += rng.random_range(0..=2 * MEAN_FAULT_INTERVAL_MS);
        }
        Self {
            seed,
            duration,
            nodes,
            centres,
            faults,
        }
    }
}

impl ScheduledFault {
    fn conflicts_with(&self, other: &Self) -> bool {
        let overlaps = self.start < other.end && other.start < self.end;
        overlaps && self.fault.target() == other.fault.target()
    }
}

/// What a fault acts on; faults with the same target must not overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultTarget {
    Node(usize),
    Server(usize),
    Responses,
    Limits,
    Links,
    Platform,
    Versions,
}

impl SoakFault {
    const fn target(self) -> FaultTarget {
        match self {
            Self::KillNode(node) | Self::StopNode(node) | Self::PauseNode(node) => {
                FaultTarget::Node(node)
            }
            Self::KillServer(node) | Self::DrainServer(node) | Self::PauseServer(node) => {
                FaultTarget::Server(node)
            }
            Self::CorruptResponses => FaultTarget::Responses,
            Self::LimitServers(_) => FaultTarget::Limits,
            Self::Partition(..) | Self::PartitionOneWay(_) | Self::Delay(_) => FaultTarget::Links,
            Self::PlatformUnavailable
            | Self::PlatformUnresponsive
            | Self::PlatformLosesResponses => FaultTarget::Platform,
            Self::Publish => FaultTarget::Versions,
        }
    }
}

fn random_fault(rng: &mut impl Rng, nodes: usize, centres: u8) -> SoakFault {
    let node = rng.random_range(0..nodes);
    let centre = rng.random_range(1..=centres);
    let other = centre % centres + 1;
    match rng.random_range(0..15) {
        0 => SoakFault::KillNode(node),
        1 => SoakFault::StopNode(node),
        2 => SoakFault::PauseNode(node),
        3 => SoakFault::KillServer(node),
        4 => SoakFault::DrainServer(node),
        5 => SoakFault::PauseServer(node),
        6 => SoakFault::CorruptResponses,
        7 => SoakFault::Partition(centre, other, rng.random()),
        8 => SoakFault::PartitionOneWay(centre),
        9 => SoakFault::Delay(rng.random_range(5..=60)),
        10 => SoakFault::PlatformUnavailable,
        11 => SoakFault::PlatformUnresponsive,
        12 => SoakFault::PlatformLosesResponses,
        13 => SoakFault::LimitServers(rng.random_range(1..=15)),
        _ => SoakFault::Publish,
    }
}
