//! Distribution of configuration versions and small mergeable records between nodes, by gossip.
//!
//! - [`PublishPlan`]: publishing a version in the platform's table
//! - [`GossipNode`]: gossip state machine of one node
//! - [`VersionStore`], [`FetchScheduler`], [`ConfigDelta`]: storing and fetching version content
//! - [`RecordTable`], [`RecordReplica`]: small replicated records

mod compressed_bytes;
mod config_delta;
mod era_record;
mod fetch_scheduler;
mod gossip_action;
mod gossip_message;
mod gossip_node;
mod gossip_options;
mod join_pacer;
mod node_replies;
mod node_requests;
mod node_tick;
mod peer_selector;
mod platform_poll;
mod publish_plan;
mod push_queue;
mod reader_selection;
mod readiness_gate;
mod record_replica;
mod record_table;
mod return_watch;
mod table_digest;
mod transfer_limiter;
mod version_row;
mod version_store;

pub use compressed_bytes::CompressedBytes;
pub use config_delta::{ConfigDelta, MapDelta};
pub use era_record::{ERA_KIND, EraRecord};
pub use fetch_scheduler::{FetchScheduler, FetchSource, VersionFetch};
pub use gossip_action::{GossipAction, GossipEvent};
pub use gossip_message::{
    GossipReply, GossipRequest, PeerHeader, ProbeReply, ProbeRequest, ReconcileReply,
    ReconcileRequest, RecordEntry, RootDigest, SnapshotReply, SnapshotRequest,
};
pub use gossip_node::{GossipCounters, GossipNode};
pub use gossip_options::{GossipOptions, SpreadMode};
pub use join_pacer::JoinPacer;
pub use peer_selector::{PeerSelector, PeerTarget};
pub use platform_poll::{PlatformPoll, PlatformState};
pub use publish_plan::{
    CurrentRow, PublishAttempt, PublishOutcome, PublishPlan, PublishStep, WriteOutcome,
};
pub use push_queue::PushQueue;
pub(crate) use reader_selection::rank_nodes;
pub use reader_selection::{READERS_PER_DATA_CENTRE, select_readers};
pub use readiness_gate::ReadinessGate;
pub use record_replica::RecordReplica;
pub use record_table::{RecordKey, RecordTable, RecordValue};
pub use table_digest::{BUCKET_COUNT, BucketIndex, TableDigest};
pub use transfer_limiter::TransferLimiter;
pub use version_row::{AcceptedAttempt, MAX_ACCEPTED_ATTEMPTS, VersionRow};
pub use version_store::{InstallOutcome, VersionStore};
