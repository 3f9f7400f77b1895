use bronzelb_kernel::clock::TimeBudget;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Average time between the starts of two faults; they last longer, so that they overlap.
const FAULT_GAP_MS: u64 = 700;
const MIN_FAULT_MS: u64 = 300;
const MAX_FAULT_MS: u64 = 3_000;
/// Time at the start and the end of a run without faults.
const CALM_MS: u64 = 1_000;

/// A fault that a soak brings about from outside the processes.
///
/// Nodes and data centres are counted from 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// A node is killed, and restarted at the end.
    KillNode(usize),
    /// A node is asked to shut down, and restarted at the end.
    StopNode(usize),
    /// A node's process is paused.
    PauseNode(usize),
    /// The backend server beside a node is killed, and another one started at the end.
    KillServer(usize),
    /// The backend server beside a node is asked to leave, and another one started at the end.
    DrainServer(usize),
    /// The backend server beside a node is paused.
    PauseServer(usize),
    /// Servers cut, garble, double or lose some of their answers.
    CorruptResponses,
    /// Two data centres lose each other; connections are reset, or silent when the flag is set.
    Partition(u8, u8, bool),
    /// Requests of a data centre's nodes pass to the others, and answers do not come back.
    PartitionOneWay(u8),
    /// Everything between nodes is delayed by this many milliseconds.
    Delay(u64),
    /// The platform closes every connection.
    PlatformUnavailable,
    /// The platform accepts requests and answers none.
    PlatformUnresponsive,
    /// The platform applies writes and loses the answers.
    PlatformLosesResponses,
    /// Operators publish a new version at the start.
    Publish,
}

/// A fault and the time for which it lasts, from the start of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// What happens.
    pub fault: SoakFault,
    /// Time from the start of the load to the fault.
    pub start: TimeBudget,
    /// Time from the start of the load to its end.
    pub end: TimeBudget,
}

/// The faults of one run; the same seed gives the same plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakPlan {
    /// Seed of every random choice of the run.
    pub seed: u64,
    /// Time for which callers send.
    pub duration: TimeBudget,
    /// Nodes of the mesh, spread over the data centres.
    pub nodes: usize,
    /// Data centres of the mesh.
    pub centres: u8,
    /// Faults in the order of their starts.
    pub faults: Vec<ScheduledFault>,
}

impl SoakPlan {
    /// Draws a plan.
    #[must_use]
    pub fn generate(seed: u64, length: TimeBudget, centres: u8, nodes_per_centre: u8) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = usize::from(centres) * usize::from(nodes_per_centre);
        let mut spans: Vec<ScheduledFault> = Vec::new();
        let last = length.as_millis().saturating_sub(CALM_MS);
        let mut begins = CALM_MS;
        while begins + MIN_FAULT_MS < last {
            let ends = begins + rng.random_range(MIN_FAULT_MS..=MAX_FAULT_MS);
            let span = ScheduledFault {
                fault: draw_fault(&mut rng, nodes, centres),
                start: TimeBudget::from_millis(begins),
                end: TimeBudget::from_millis(ends.min(last)),
            };
            // One process has one fault at a time, and the platform as well.
            if !spans.iter().any(|other| other.excludes(&span)) {
                spans.push(span);
            }
            begins += rng.random_range(0..=2 * FAULT_GAP_MS);
        }
        Self {
            seed,
            duration: length,
            nodes,
            centres,
            faults: spans,
        }
    }
}

impl ScheduledFault {
    fn excludes(&self, other: &Self) -> bool {
        let overlaps = self.start < other.end && other.start < self.end;
        overlaps && self.fault.place() == other.fault.place()
    }
}

/// What a fault acts on; two faults at one place exclude each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultTarget {
    Node(usize),
    Server(usize),
    Answers,
    Links,
    Platform,
    Versions,
}

impl SoakFault {
    const fn place(self) -> FaultTarget {
        match self {
            Self::KillNode(node) | Self::StopNode(node) | Self::PauseNode(node) => {
                FaultTarget::Node(node)
            }
            Self::KillServer(node) | Self::DrainServer(node) | Self::PauseServer(node) => {
                FaultTarget::Server(node)
            }
            Self::CorruptResponses => FaultTarget::Answers,
            Self::Partition(..) | Self::PartitionOneWay(_) | Self::Delay(_) => FaultTarget::Links,
            Self::PlatformUnavailable
            | Self::PlatformUnresponsive
            | Self::PlatformLosesResponses => FaultTarget::Platform,
            Self::Publish => FaultTarget::Versions,
        }
    }
}

fn draw_fault(rng: &mut impl Rng, nodes: usize, centres: u8) -> SoakFault {
    let node = rng.random_range(0..nodes);
    let centre = rng.random_range(1..=centres);
    let other = centre % centres + 1;
    match rng.random_range(0..14) {
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
        _ => SoakFault::Publish,
    }
}
