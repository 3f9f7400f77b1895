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

/// What one node spends on spreading while nothing changes.
pub(super) struct SpreadCost {
    /// Processor time of the decisions.
    pub(super) busy: Duration,
    /// Encoded bytes sent and received, without the framing of the transport.
    pub(super) bytes: u64,
    /// Messages sent and received.
    pub(super) messages: u64,
}

/// Drives one node for `seconds` of its own clock among peers that agree with it.
///
/// Every message that the node sends is answered at once, and as many arrive as it sends, which is
/// the mean over a mesh of equal nodes.
pub(super) fn drive_spread(
    rows: &[MemberRow],
    version: &ConfigVersion,
    seconds: u64,
    seed: u64,
) -> Result<SpreadCost, MeshError> {
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
    let introduction = GossipRequest {
        from: card_of(&rows[1], Some(version.stamp())),
        digest: None,
        members: rows.to_vec(),
        records: Vec::new(),
    };
    node.handle_gossip(introduction, start);
    let mut drive = SpreadDrive {
        node,
        rng,
        now: start,
        cost: SpreadCost {
            busy: Duration::ZERO,
            bytes: 0,
            messages: 0,
        },
    };
    // The rows that were just told are pushed on first; that is not the resting state.
    drive.run(WARM_UP_SECONDS * TICKS_PER_SECOND, rows);
    drive.cost.busy = Duration::ZERO;
    drive.cost.bytes = 0;
    drive.cost.messages = 0;
    drive.run(seconds * TICKS_PER_SECOND, rows);
    Ok(drive.cost)
}

struct SpreadDrive {
    node: GossipNode,
    rng: StdRng,
    now: ClockInstant,
    cost: SpreadCost,
}

impl SpreadDrive {
    fn run(&mut self, ticks: u64, rows: &[MemberRow]) {
        for _ in 0..ticks {
            self.now = self.now.after(TICK);
            let started_at = Instant::now();
            self.node.tick(self.now, &mut self.rng);
            let actions = self.node.take_actions();
            self.cost.busy += started_at.elapsed();
            for action in actions {
                self.answer(action, rows);
            }
        }
    }

    fn answer(&mut self, action: GossipAction, rows: &[MemberRow]) {
        match action {
            GossipAction::Gossip { to, request, .. } => self.answer_gossip(&to, request, rows),
            GossipAction::ReadVersionRow => {
                self.node
                    .handle_version_row(Ok(None), self.now, &mut self.rng);
            }
            _ => {}
        }
    }

    fn answer_gossip(&mut self, to: &PeerTarget, request: GossipRequest, rows: &[MemberRow]) {
        let from = rows
            .iter()
            .find(|row| row.peer_address == to.address)
            .unwrap_or(&rows[1]);
        let from = card_of(from, request.from.stamp);
        let reply = GossipReply {
            from: from.clone(),
            digest: request.digest,
            members: Vec::new(),
        };
        self.count(&request);
        self.count(&reply);
        let incoming = GossipRequest { from, ..request };
        let started_at = Instant::now();
        self.node
            .handle_gossip_reply(to, Ok(reply), self.now, &mut self.rng);
        let answer = self.node.handle_gossip(incoming.clone(), self.now);
        self.cost.busy += started_at.elapsed();
        self.count(&incoming);
        self.count(&answer);
    }

    fn count(&mut self, message: &impl serde::Serialize) {
        let encoded = postcard::to_stdvec(message).expect("messages are serializable");
        self.cost.bytes += encoded.len() as u64;
        self.cost.messages += 1;
    }
}

fn card_of(row: &MemberRow, stamp: Option<VersionStamp>) -> PeerHeader {
    PeerHeader {
        node: row.node.clone(),
        data_centre: row.data_centre.clone(),
        stamp,
        platform_seen_at: None,
    }
}
