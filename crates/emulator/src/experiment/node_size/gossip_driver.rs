use std::time::{Duration, Instant};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::{ConfigVersion, VersionStamp},
    error::MeshError,
    member::MemberRow,
    spread::{
        FetchSource, GossipAction, GossipNode, GossipOptions, GossipReply, GossipRequest,
        PeerHeader, PeerTarget, SnapshotReply, VersionFetch,
    },
};
use rand::{SeedableRng, rngs::StdRng};

const TICK: TimeBudget = TimeBudget::from_millis(20);
const TICKS_PER_SECOND: u64 = 50;
const WARM_UP_SECONDS: u64 = 120;

/// Cost of gossip on one node while nothing changes.
pub(super) struct GossipCost {
    /// Time spent on decisions.
    pub(super) busy_time: Duration,
    /// Encoded bytes sent and received, without transport framing.
    pub(super) bytes: u64,
    /// Number of messages sent and received.
    pub(super) messages: u64,
}

/// Measures gossip on one node for `seconds` of simulated time, with peers in the same state.
///
/// Each message is answered immediately, and the node receives as many messages as it sends, which
/// is the mean in a mesh of equal nodes.
pub(super) fn measure_gossip(
    rows: &[MemberRow],
    version: &ConfigVersion,
    seconds: u64,
    seed: u64,
) -> Result<GossipCost, MeshError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = ClockInstant::from_millis(1_000_000);
    let mut node = GossipNode::new(
        "sample".parse()?,
        rows[0].clone(),
        Vec::new(),
        GossipOptions::default(),
        start,
        &mut rng,
    );
    node.handle_version_row(Ok(None), start, &mut rng);
    let fetch = VersionFetch {
        stamp: version.stamp(),
        base: None,
        source: FetchSource::Store("version-1".into()),
        deadline: start.after(TICK),
    };
    let body = SnapshotReply::Whole(version.body().clone());
    node.handle_fetch_reply(&fetch, Ok(body), start, &mut rng);
    let first_gossip = GossipRequest {
        from: peer_header(&rows[1], Some(version.stamp())),
        digest: None,
        members: rows.to_vec(),
        records: Vec::new(),
    };
    node.handle_gossip(first_gossip, start);
    let mut driver = GossipDriver {
        node,
        rng,
        now: start,
        cost: GossipCost {
            busy_time: Duration::ZERO,
            bytes: 0,
            messages: 0,
        },
    };
    // The node first forwards the rows it has just received, which is not the steady state.
    driver.run(WARM_UP_SECONDS * TICKS_PER_SECOND, rows);
    driver.cost.busy_time = Duration::ZERO;
    driver.cost.bytes = 0;
    driver.cost.messages = 0;
    driver.run(seconds * TICKS_PER_SECOND, rows);
    Ok(driver.cost)
}

struct GossipDriver {
    node: GossipNode,
    rng: StdRng,
    now: ClockInstant,
    cost: GossipCost,
}

impl GossipDriver {
    fn run(&mut self, ticks: u64, rows: &[MemberRow]) {
        for _ in 0..ticks {
            self.now = self.now.after(TICK);
            let started_at = Instant::now();
            self.node.tick(self.now, &mut self.rng);
            let actions = self.node.take_actions();
            self.cost.busy_time += started_at.elapsed();
            for action in actions {
                self.perform(action, rows);
            }
        }
    }

    fn perform(&mut self, action: GossipAction, rows: &[MemberRow]) {
        match action {
            GossipAction::Gossip { to, request, .. } => self.respond_to_gossip(&to, request, rows),
            GossipAction::ReadVersionRow => {
                self.node
                    .handle_version_row(Ok(None), self.now, &mut self.rng);
            }
            _ => {}
        }
    }

    fn respond_to_gossip(&mut self, to: &PeerTarget, request: GossipRequest, rows: &[MemberRow]) {
        let from = rows
            .iter()
            .find(|row| row.peer_address == to.address)
            .unwrap_or(&rows[1]);
        let from = peer_header(from, request.from.stamp);
        let reply = GossipReply {
            from: from.clone(),
            digest: request.digest,
            members: Vec::new(),
        };
        self.count_message(&request);
        self.count_message(&reply);
        let incoming = GossipRequest { from, ..request };
        let started_at = Instant::now();
        self.node
            .handle_gossip_reply(to, Ok(reply), self.now, &mut self.rng);
        let incoming_reply = self.node.handle_gossip(incoming.clone(), self.now);
        self.cost.busy_time += started_at.elapsed();
        self.count_message(&incoming);
        self.count_message(&incoming_reply);
    }

    fn count_message(&mut self, message: &impl serde::Serialize) {
        let encoded = postcard::to_stdvec(message).expect("messages are serializable");
        self.cost.bytes += encoded.len() as u64;
        self.cost.messages += 1;
    }
}

fn peer_header(row: &MemberRow, stamp: Option<VersionStamp>) -> PeerHeader {
    PeerHeader {
        node: row.node.clone(),
        data_centre: row.data_centre.clone(),
        stamp,
        platform_seen_at: None,
        orders_seen_at: None,
    }
}
