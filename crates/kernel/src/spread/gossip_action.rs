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

/// Action that a [`GossipNode`](crate::spread::GossipNode) requests from its caller.
#[derive(Clone, Debug)]
pub enum GossipAction {
    /// Send a message and pass the reply to `handle_gossip_reply`.
    Gossip {
        /// Receiver.
        to: PeerTarget,
        /// Message.
        request: GossipRequest,
        /// When the message counts as timed out.
        deadline: ClockInstant,
    },
    /// Request the entries that differ and pass the reply to `handle_reconcile_reply`.
    Reconcile {
        /// Receiver.
        to: PeerTarget,
        /// Message.
        request: ReconcileRequest,
        /// When the message counts as timed out.
        deadline: ClockInstant,
    },
    /// Ask a helper to probe a member and pass the reply to `handle_probe_reply`.
    IndirectProbe {
        /// Helper that sends the probe.
        to: PeerTarget,
        /// Message.
        request: ProbeRequest,
        /// When the message counts as timed out.
        deadline: ClockInstant,
    },
    /// Fetch a version's content and pass it to `handle_fetch_reply`.
    Fetch(VersionFetch),
    /// Write this node's lease row to the platform, best effort.
    WriteLeaseRow(LeaseRow),
    /// Scan a few lease rows of the platform and pass their addresses to `add_seeds`.
    FindSeeds,
    /// Read the platform's version row and pass it to `handle_version_row`.
    ReadVersionRow,
    /// Deliver an event to the rest of the process.
    Notify(GossipEvent),
}

/// Event that the rest of the process acts on or logs.
#[derive(Clone, Debug)]
pub enum GossipEvent {
    /// This version is now the active one.
    Activated(Arc<ConfigVersion>),
    /// The members or their backend servers changed.
    MembersChanged,
    /// A record changed.
    RecordChanged(RecordEntry),
    /// A version failed a check and was refused.
    Refused {
        /// Refused version.
        stamp: VersionStamp,
        /// Reason.
        error: MeshError,
    },
    /// A source sent content that does not match its stamp.
    Altered {
        /// Fetch that returned the content.
        fetch: VersionFetch,
        /// Mismatch that was found.
        error: MeshError,
    },
    /// A received record was malformed and was discarded.
    InvalidRecord(MeshError),
    /// The process was paused for longer than its lease and rejoins the mesh.
    Resumed,
}
