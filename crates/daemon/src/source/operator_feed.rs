use std::{future, sync::Arc, time::Duration};

use bronzelb_kernel::{
    clock::TimeBudget,
    config::ConfigVersion,
    error::{ErrorKind, MeshError},
    ids::{RowRevision, StoreEra},
    plugin::{DocumentContext, OperatorDocument},
    rollout::OrderHistory,
    spread::GossipNode,
};
use bronzelb_store::{
    PlatformClient,
    client::{OperatorCalls, OperatorUpdates, WatchRequest},
};
use rand::Rng;
use slog::warn;
use tokio::sync::watch;

use crate::{
    log::EventName,
    node::{NodeState, StopSignal},
    placement::{accept_due_evacuations, apply_evacuation},
    rollout::apply_order,
    source::connect_platform,
};

/// Timeout of a watch; also bounds the time until a dead connection is noticed.
const WATCH_TIMEOUT: TimeBudget = TimeBudget::from_millis(2_500);
/// Time reserved at the end of a watch for the response to arrive.
const RESPONSE_MARGIN: TimeBudget = TimeBudget::from_millis(500);
/// Interval at which a node checks whether it has become a reader.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The same for a node that is not ready, which may depend on a read of its own.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a full read of operators' documents.
const FULL_READ_TIMEOUT: TimeBudget = TimeBudget::from_millis(1_000);
/// Pause of a data centre's first reader after an update, so that the next call batches updates in
/// quick succession; a tenth of the 2 s in which a version must be in force.
const FIRST_READER_PAUSE: Duration = Duration::from_millis(200);
/// Pause of the other readers, which take over when the first one gets no updates.
const OTHER_READER_PAUSE: Duration = Duration::from_millis(700);
/// Bounds of the random pause after a failed call; jitter keeps nodes from retrying together.
const MIN_RETRY_PAUSE_MS: u64 = 100;
const MAX_RETRY_PAUSE_MS: u64 = 400;

/// Watches operators' documents on the platform until the stop signal.
///
/// Only readers watch: a few nodes of each data centre, and nodes that are starting or isolated.
///
/// Returns at once if the platform has no feed of operators' documents.
pub async fn run_operator_feed(state: Arc<NodeState>, mut stop: StopSignal) {
    let Ok(platform) = connect_platform(&state) else {
        // The gossip task logs this error.
        return;
    };
    let Some(calls) = platform.operators() else {
        return;
    };
    state.gossip.step(|node, _| node.require_orders());
    let mut feed = OperatorFeed {
        state: &state,
        platform: &platform,
        calls,
        revision: None,
        orders: OrderHistory::default(),
        is_resuming: false,
    };
    let mut eras = state.platform_eras.subscribe();
    loop {
        // Other nodes receive documents by gossip, within a few push rounds.
        if !state.gossip.read(GossipNode::is_reader) {
            let interval = match state.is_ready() {
                true => READER_CHECK_INTERVAL,
                false => START_CHECK_INTERVAL,
            };
            if !stop.tick(interval).await {
                return;
            }
            continue;
        }
        let position = feed.revision;
        let pause = tokio::select! {
            pause = feed.poll_updates() => pause,
            // Another call has shown that this one waits for changes of an era that has ended.
            () = end_of_era(&mut eras, position) => None,
            () = stop.stopped() => return,
        };
        if let Some(pause) = pause
            && !stop.sleep(pause).await
        {
            return;
        }
    }
}

/// Completes when the platform is known to have left the era of `position`.
async fn end_of_era(eras: &mut watch::Receiver<Option<StoreEra>>, position: Option<RowRevision>) {
    let Some(position) = position else {
        return future::pending().await;
    };
    let ended = eras.wait_for(|latest| *latest > Some(position.era()));
    if ended.await.is_err() {
        // The state that holds the sender outlives every task.
        future::pending::<()>().await;
    }
}

struct OperatorFeed<'a> {
    state: &'a Arc<NodeState>,
    platform: &'a PlatformClient,
    calls: &'a OperatorCalls,
    /// Revision from which to continue watching; `None` until a full read succeeds.
    revision: Option<RowRevision>,
    /// Orders of version moves that were read.
    orders: OrderHistory,
    /// Whether the last call failed. The platform may have returned to an older copy meanwhile,
    /// which the next call has to find out without a wait.
    is_resuming: bool,
}

impl OperatorFeed<'_> {
    /// Fetches updates with one call, applies them, and returns the pause before the next call, if
    /// any.
    async fn poll_updates(&mut self) -> Option<Duration> {
        let latest_era = self.state.platform_eras.latest();
        self.revision = self
            .revision
            .filter(|revision| Some(revision.era()) >= latest_era);
        let now = self.state.now();
        let deadline = now.after(match self.revision {
            Some(_) => WATCH_TIMEOUT,
            None => FULL_READ_TIMEOUT,
        });
        let request = WatchRequest {
            after: self.revision,
            wait_deadline: match self.is_resuming {
                true => now,
                false => deadline.before(RESPONSE_MARGIN),
            },
            context: self.context(),
        };
        let result = (self.calls.watch)(request, deadline).await;
        self.state.count("source_read");
        self.is_resuming = result.is_err();
        match result {
            Ok(updates) => {
                let pause = self.update_pause(&updates);
                self.apply_updates(updates).await;
                pause
            }
            Err(error) if error.kind() == ErrorKind::NotFound => {
                self.revision = None;
                self.state.count("source_history_lost");
                None
            }
            Err(error) => {
                self.handle_failure(error);
                let millis = rand::rng().random_range(MIN_RETRY_PAUSE_MS..=MAX_RETRY_PAUSE_MS);
                Some(Duration::from_millis(millis))
            }
        }
    }

    /// Returns how long to wait before the next call, so that versions in quick succession need few
    /// calls; a node without a first full read does not wait.
    fn update_pause(&self, updates: &OperatorUpdates) -> Option<Duration> {
        if updates.documents.is_empty() || self.revision.is_none() {
            return None;
        }
        match self.state.gossip.read(GossipNode::reader_rank) {
            Some(0) => Some(FIRST_READER_PAUSE),
            Some(_) => Some(OTHER_READER_PAUSE),
            None => None,
        }
    }

    fn context(&self) -> DocumentContext {
        let settings = &self.state.settings;
        DocumentContext {
            mesh: settings.mesh.clone(),
            data_centres: settings.data_centres.clone(),
        }
    }

    fn handle_failure(&self, error: MeshError) {
        self.state.count("source_read_failed");
        self.state.record_platform_result(Some(&error));
        let now = self.state.now();
        let gossip = &self.state.gossip;
        gossip.step(|node, rng| node.handle_version_row(Err(error), now, rng));
    }

    async fn apply_updates(&mut self, updates: OperatorUpdates) {
        self.state.record_platform_result(None);
        for document in updates.documents {
            self.apply_document(document).await;
        }
        self.revision = Some(updates.revision);
        accept_due_evacuations(self.state);
        let now = self.state.now();
        let gossip = &self.state.gossip;
        gossip.step(|node, rng| node.handle_version_row(Ok(None), now, rng));
    }

    async fn apply_document(&mut self, document: OperatorDocument) {
        match document {
            OperatorDocument::Config { number, snapshot } => {
                match ConfigVersion::from_snapshot(number, *snapshot) {
                    Ok(version) => {
                        let now = self.state.now();
                        let gossip = &self.state.gossip;
                        gossip.step(|node, _| node.install_version(version, now));
                    }
                    Err(error) => self.report_refused_document(&error),
                }
            }
            OperatorDocument::Move(order) => {
                apply_order(self.state, self.platform, &order, &mut self.orders).await;
            }
            OperatorDocument::Evacuation(order) => apply_evacuation(self.state, order),
            OperatorDocument::Unreadable(error) => self.report_refused_document(&error),
        }
    }

    fn report_refused_document(&self, error: &MeshError) {
        self.state.count("document_refused");
        warn!(self.state.logger, "{}", EventName::DocumentRefused;
            "message" => error.to_string());
    }
}
