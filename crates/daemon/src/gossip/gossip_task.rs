use std::{rc::Rc, sync::Arc, time::Duration};

use bronzelb_kernel::{
    clock::TimeBudget,
    spread::{
        FetchSource, GossipAction, GossipEvent, GossipNode, PeerHeader, SnapshotRequest,
        VersionFetch,
    },
};
use bronzelb_store::PlatformClient;
use slog::{info, warn};
use tokio::{task::spawn_local, time};

use crate::{
    backends::{apply_departure_record, departure_records, doubt_all_servers, record_contact},
    gossip::GossipPool,
    log::EventName,
    node::{NodeState, StopSignal},
    placement::apply_evacuation_record,
    source::{
        apply_era_record, connect_platform, find_seeds, read_object, read_version_row, write_lease,
    },
};

const LEAVE_SEND_TIME: Duration = Duration::from_millis(300);
const FETCH_TIMEOUT: TimeBudget = TimeBudget::from_secs(10);

/// Runs the actions of the kernel's gossip state machine until the stop signal.
pub async fn run_gossip(state: Arc<NodeState>, pool: Rc<GossipPool>, mut stop: StopSignal) {
    let platform = connect_platform(&state);
    if let Err(error) = &platform {
        warn!(state.logger, "{}", EventName::PlatformState; "message" => error.to_string());
    }
    let runner = ActionRunner {
        platform: platform.ok(),
        state,
        pool,
    };
    loop {
        runner.tick_if_due();
        tokio::select! {
            () = time::sleep(runner.time_until_tick()) => {}
            () = runner.state.gossip.next_step() => {}
            () = stop.stopped() => break,
        }
    }
    runner.leave().await;
}

/// Runs gossip actions; clones share connections.
#[derive(Clone)]
struct ActionRunner {
    state: Arc<NodeState>,
    pool: Rc<GossipPool>,
    platform: Option<PlatformClient>,
}

impl ActionRunner {
    /// Runs the periodic work if some is due; a step may wake the task before.
    fn tick_if_due(&self) {
        if self.time_until_tick().is_zero() {
            self.tick();
        }
    }

    fn time_until_tick(&self) -> Duration {
        let now = self.state.now();
        let next_tick = self.state.gossip.read(|node| node.next_tick(now));
        next_tick.remaining(now).to_std()
    }

    fn tick(&self) {
        let now = self.state.now();
        self.state.expire_backends();
        let (actions, knows_records) = self.state.gossip.step_without_wake(|node, rng| {
            node.tick(now, rng);
            // After a pause the node clears its backend servers from its row; those that have
            // renewed their lease since are added again.
            node.set_backends(self.state.backends().rows());
            (node.take_actions(), node.knows_records(now))
        });
        for action in actions {
            self.spawn_action(action);
        }
        // The actions have applied every departure among the records.
        if knows_records && self.state.backends().is_held() {
            self.state.release_backends();
        }
        self.pool.close_idle(now);
    }

    /// Announces that this node leaves, and waits for the message to be sent.
    async fn leave(&self) {
        self.state.gossip.step_without_wake(|node, _| node.leave());
        self.tick();
        time::sleep(LEAVE_SEND_TIME).await;
    }

    fn spawn_action(&self, action: GossipAction) {
        if let GossipAction::Notify(event) = action {
            self.handle_event(event);
            return;
        }
        let runner = self.clone();
        spawn_local(async move { runner.run_action(action).await });
    }

    async fn run_action(&self, action: GossipAction) {
        let gossip = &self.state.gossip;
        match action {
            GossipAction::Gossip {
                to,
                request,
                deadline,
            } => {
                let departures = departure_records(&request.records);
                let result = self.pool.gossip(to.address, request, deadline).await;
                if let Ok(reply) = &result {
                    record_contact(&self.state);
                    let copies = &self.state.departure_copies;
                    copies.confirm(&reply.from.node, &departures);
                }
                let now = self.state.now();
                gossip.step(|node, rng| node.handle_gossip_reply(&to, result, now, rng));
            }
            GossipAction::Reconcile {
                to,
                request,
                deadline,
            } => {
                let result = self.pool.reconcile(to.address, request, deadline).await;
                let now = self.state.now();
                gossip.step(|node, rng| node.handle_reconcile_reply(&to, result, now, rng));
            }
            GossipAction::IndirectProbe {
                to,
                request,
                deadline,
            } => {
                let target = request.target.clone();
                let result = self.pool.probe(to.address, request, deadline).await;
                let now = self.state.now();
                gossip.step(|node, _| node.handle_probe_reply(&target, result, now));
            }
            GossipAction::Fetch(fetch) => self.fetch(fetch).await,
            GossipAction::ReadVersionRow => self.read_version_row().await,
            GossipAction::WriteLeaseRow(row) => {
                if write_lease(&self.state, self.platform.as_ref(), &row)
                    .await
                    .is_err()
                {
                    self.state.count("lease_write_failed");
                }
            }
            GossipAction::FindSeeds => {
                let found = find_seeds(&self.state, self.platform.as_ref()).await;
                let found = found.unwrap_or_default();
                self.state.gossip.step(|node, _| node.add_seeds(found));
            }
            GossipAction::Notify(event) => self.handle_event(event),
        }
    }

    async fn fetch(&self, fetch: VersionFetch) {
        let deadline = self.state.now().after(FETCH_TIMEOUT);
        let result = match &fetch.source {
            FetchSource::Store(object) => {
                read_object(self.platform.as_ref(), object, deadline).await
            }
            FetchSource::Peer(peer) => match self.state.peer_address_of(peer) {
                Ok(address) => {
                    let request = SnapshotRequest {
                        from: self.header(),
                        stamp: fetch.stamp,
                        base: fetch.base,
                    };
                    self.pool.snapshot(address, request, deadline).await
                }
                Err(error) => Err(error),
            },
        };
        let now = self.state.now();
        self.state
            .gossip
            .step(|node, rng| node.handle_fetch_reply(&fetch, result, now, rng));
    }

    /// Reads the version row, unless the platform has a separate feed of operators' documents.
    async fn read_version_row(&self) {
        let has_feed = self
            .platform
            .as_ref()
            .is_some_and(|platform| platform.operators().is_some());
        if has_feed {
            return;
        }
        let result = read_version_row(&self.state, self.platform.as_ref()).await;
        if let Err(error) = &result {
            self.state.count("source_read_failed");
            if error.kind() != bronzelb_kernel::error::ErrorKind::PlatformAway {
                warn!(self.state.logger, "{}", EventName::PlatformState;
                    "message" => error.to_string());
            }
        }
        self.state.count("source_read");
        let now = self.state.now();
        self.state
            .gossip
            .step(|node, rng| node.handle_version_row(result, now, rng));
    }

    fn header(&self) -> PeerHeader {
        self.state.gossip.read(GossipNode::header)
    }

    fn handle_event(&self, event: GossipEvent) {
        let state = &self.state;
        match event {
            GossipEvent::Activated(version) => state.apply_config(version),
            GossipEvent::MembersChanged => {}
            GossipEvent::RecordChanged(entry) => {
                // Applied before the node becomes ready, which later actions may cause.
                apply_evacuation_record(state, &entry);
                apply_departure_record(state, &entry);
                apply_era_record(state, &entry);
                state.gossip.announce_record(entry);
            }
            GossipEvent::Refused { stamp, error } => {
                state.count("config_refused");
                warn!(state.logger, "{}", EventName::ConfigRefused;
                    "version" => stamp.number.get(), "hash" => stamp.hash.to_string(),
                    "message" => error.to_string());
            }
            GossipEvent::Altered { fetch, error } => {
                state.count("config_altered");
                warn!(state.logger, "{}", EventName::ConfigAltered;
                    "version" => fetch.stamp.number.get(),
                    "source" => format!("{:?}", fetch.source),
                    "message" => error.to_string());
            }
            GossipEvent::InvalidRecord(error) => {
                state.count("record_refused");
                warn!(state.logger, "{}", EventName::RecordRefused; "message" => error.to_string());
            }
            GossipEvent::Resumed => {
                doubt_all_servers(state, "pause");
                state.count("pause");
                info!(state.logger, "{}", EventName::Resumed);
            }
        }
    }
}
