use std::{sync::Arc, time::Duration};

use bronzelb_kernel::{
    clock::TimeBudget,
    config::ConfigVersion,
    error::{ErrorKind, MeshError},
    plugin::{DocumentContext, OperatorDocument},
    spread::GossipNode,
};
use bronzelb_store::{
    PlatformClient,
    client::{OperatorCalls, OperatorUpdates},
    table::RowRevision,
};
use rand::Rng;
use slog::warn;

use crate::{
    log::EventName,
    node::{NodeState, StopSignal},
    rollout::take_order,
    source::connect_platform,
};

/// Longest wait for changes; a connection that went silent is noticed after this time.
const WATCH_TIME: TimeBudget = TimeBudget::from_millis(2_500);
/// Time after which a node that was no reader looks whether it has become one.
const READER_CHECK: Duration = Duration::from_millis(200);
/// Time for a read of everything that operators have written.
const READ_TIME: TimeBudget = TimeBudget::from_millis(1_000);
/// Pause of a data centre's first reader after news, so that one call brings what follows closely;
/// a tenth of the 2 s in which a version must be in force.
const FIRST_READER_PAUSE: Duration = Duration::from_millis(200);
/// Pause of the others, which stand in for the first one where it hears nothing.
const OTHER_READER_PAUSE: Duration = Duration::from_millis(700);
/// Pauses after a call that failed, drawn at random so that nodes do not return together.
const MIN_PAUSE_MS: u64 = 100;
const MAX_PAUSE_MS: u64 = 400;

/// Follows what operators write to the platform until the stop signal.
///
/// A few nodes of each data centre do, and those that start or are alone.
///
/// Returns at once for a platform to which operators do not write documents themselves.
pub async fn run_operator_feed(state: Arc<NodeState>, mut stop: StopSignal) {
    let Ok(platform) = connect_platform(&state) else {
        // The spreading task has logged why.
        return;
    };
    let Some(calls) = platform.operators() else {
        return;
    };
    let mut feed = OperatorFeed {
        state: &state,
        platform: &platform,
        calls,
        place: None,
    };
    loop {
        // The others learn of documents from their peers, within a few rounds of pushes.
        if !state.spread.read(GossipNode::is_reader) {
            if !stop.sleep(READER_CHECK).await {
                return;
            }
            continue;
        }
        let pause = tokio::select! {
            pause = feed.follow() => pause,
            () = stop.stopped() => return,
        };
        if let Some(pause) = pause
            && !stop.sleep(pause).await
        {
            return;
        }
    }
}

struct OperatorFeed<'a> {
    state: &'a Arc<NodeState>,
    platform: &'a PlatformClient,
    calls: &'a OperatorCalls,
    /// Revision from which to watch on; none before the first read of everything.
    place: Option<RowRevision>,
}

impl OperatorFeed<'_> {
    /// Makes one call, and returns the pause before the next one if it failed.
    async fn follow(&mut self) -> Option<Duration> {
        let time = match self.place {
            Some(_) => WATCH_TIME,
            None => READ_TIME,
        };
        let deadline = self.state.now().after(time);
        let result = (self.calls.watch)(self.place, self.context(), deadline).await;
        self.state.count("source_read");
        match result {
            Ok(news) => {
                let pause = self.news_pause(&news);
                self.take_news(news).await;
                pause
            }
            Err(error) if error.kind() == ErrorKind::NotFound => {
                self.place = None;
                self.state.count("source_history_lost");
                None
            }
            Err(error) => {
                self.note_failure(error);
                let millis = rand::rng().random_range(MIN_PAUSE_MS..=MAX_PAUSE_MS);
                Some(Duration::from_millis(millis))
            }
        }
    }

    /// Returns how long to wait before the next call, so that a quick succession of versions takes
    /// few calls; a node that has no version yet waits for nothing.
    fn news_pause(&self, news: &OperatorUpdates) -> Option<Duration> {
        if news.documents.is_empty() || self.place.is_none() {
            return None;
        }
        match self.state.spread.read(GossipNode::reader_rank) {
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

    fn note_failure(&self, error: MeshError) {
        self.state.count("source_read_failed");
        self.state.record_platform_result(Some(&error));
        let now = self.state.now();
        let spread = &self.state.spread;
        spread.step(|node, rng| node.handle_version_row(Err(error), now, rng));
    }

    async fn take_news(&mut self, news: OperatorUpdates) {
        self.state.record_platform_result(None);
        for document in news.documents {
            self.take_document(document).await;
        }
        self.place = Some(news.revision);
        let now = self.state.now();
        let spread = &self.state.spread;
        spread.step(|node, rng| node.handle_version_row(Ok(None), now, rng));
    }

    async fn take_document(&self, document: OperatorDocument) {
        match document {
            OperatorDocument::Config { number, snapshot } => {
                match ConfigVersion::from_snapshot(number, *snapshot) {
                    Ok(version) => {
                        let now = self.state.now();
                        let spread = &self.state.spread;
                        spread.step(|node, _| node.install_version(version, now));
                    }
                    Err(error) => self.refuse(&error),
                }
            }
            OperatorDocument::Move(order) => take_order(self.state, self.platform, &order).await,
            OperatorDocument::Unreadable(error) => self.refuse(&error),
        }
    }

    fn refuse(&self, error: &MeshError) {
        self.state.count("document_refused");
        warn!(self.state.logger, "{}", EventName::DocumentRefused;
            "message" => error.to_string());
    }
}
