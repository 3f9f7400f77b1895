//! How configuration versions and small mergeable records travel between nodes.
//!
//! - [`PublishPlan`]: how a version is accepted by the platform's table
//! - [`GossipNode`]: one node's part in spreading, as a state machine
//! - [`VersionHolder`], [`FetchPlan`], [`ConfigDelta`]: the content of versions
//! - [`RecordTable`], [`RecordLog`]: small replicated records

mod config_delta;
mod fetch_plan;
mod gossip_message;
mod node_answer;
mod node_receive;
mod node_tick;
mod packed_bytes;
mod peer_picker;
mod publish_plan;
mod reader_choice;
mod record_log;
mod record_table;
mod rumour_queue;
mod source_poll;
mod spread_action;
mod spread_node;
mod spread_rule;
mod start_gate;
mod table_digest;
mod transfer_gate;
mod version_holder;
mod version_row;

pub use config_delta::{ConfigDelta, MapDelta};
pub use fetch_plan::{FetchPlan, FetchSource, VersionFetch};
pub use gossip_message::{
    GossipReply, GossipRequest, PeerHeader, ProbeReply, ProbeRequest, ReconcileReply,
    ReconcileRequest, RecordEntry, RootDigest, SnapshotReply, SnapshotRequest,
};
pub use packed_bytes::PackedBytes;
pub use peer_picker::{PeerPicker, PeerTarget};
pub use publish_plan::{
    CurrentRow, PublishAttempt, PublishOutcome, PublishPlan, PublishStep, WriteOutcome,
};
pub use reader_choice::{READERS_PER_CENTRE, select_readers};
pub use record_log::RecordLog;
pub use record_table::{RecordKey, RecordTable, RecordValue};
pub use rumour_queue::RumourQueue;
pub use source_poll::{PlatformState, SourcePoll};
pub use spread_action::{GossipAction, GossipEvent};
pub use spread_node::{GossipNode, SpreadCounters};
pub use spread_rule::{GossipOptions, SpreadMode};
pub use start_gate::StartGate;
pub use table_digest::{BUCKET_COUNT, BucketIndex, TableDigest};
pub use transfer_gate::TransferGate;
pub use version_holder::{OfferOutcome, VersionHolder};
pub use version_row::{AcceptedAttempt, MAX_ACCEPTED_ATTEMPTS, VersionRow};
