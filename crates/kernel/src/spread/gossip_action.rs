use std::sync::Arc;

use crate::{
    clock::ClockInstant,
    config::{ConfigVersion, VersionStamp},
    error::MeshError,
    member::LeaseRow,
    spread::{
        GossipRequest, PeerTarget, ProbeRequest, ReconcileRequest, RecordEntry, VersionFetch,
    },
};

/// What a [`GossipNode`](crate::spread::GossipNode) asks its caller to do.
#[derive(Clone, Debug)]
pub enum GossipAction {
    /// Send a message and pass the answer to `handle_gossip_reply`.
    Gossip {
        /// Receiver.
        to: PeerTarget,
        /// Message.
        request: GossipRequest,
        /// When the message counts as unanswered.
        deadline: ClockInstant,
    },
    /// Ask for differing entries and pass the answer to `handle_reconcile_reply`.
    Reconcile {
        /// Receiver.
        to: PeerTarget,
        /// Message.
        request: ReconcileRequest,
        /// When the message counts as unanswered.
        deadline: ClockInstant,
    },
    /// Ask a helper to probe a member and pass the answer to `handle_probe_reply`.
    IndirectProbe {
        /// Helper.
        to: PeerTarget,
        /// Message.
        request: ProbeRequest,
        /// When the message counts as unanswered.
        deadline: ClockInstant,
    },
    /// Fetch a version's content and pass it to `handle_fetch_reply`.
    Fetch(VersionFetch),
    /// Write this node's row to the platform; nothing depends on whether that succeeds.
    WriteLease(LeaseRow),
    /// Scan a few member rows of the platform and pass their addresses to `add_seeds`.
    FindSeeds,
    /// Read the platform's version row and pass it to `handle_version_row`.
    ReadVersionRow,
    /// Tell the rest of the process what has changed.
    Notify(GossipEvent),
}

/// A change that the rest of the process acts on or logs.
#[derive(Clone, Debug)]
pub enum GossipEvent {
    /// This version is in force from now on.
    Activated(Arc<ConfigVersion>),
    /// Members, or the backend servers beside them, changed.
    Members,
    /// A record changed.
    Record(RecordEntry),
    /// A version was refused as a whole.
    Refused {
        /// Refused version.
        stamp: VersionStamp,
        /// Why.
        error: MeshError,
    },
    /// A source sent content that does not match its stamp.
    Altered {
        /// Fetch that brought the content.
        fetch: VersionFetch,
        /// What did not match.
        error: MeshError,
    },
    /// A received record was malformed and dropped.
    InvalidRecord(MeshError),
    /// The process was paused for longer than its lease and rejoins.
    Resumed,
}
