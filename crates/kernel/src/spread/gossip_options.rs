use std::{fmt, str::FromStr};

use serde::Deserialize;

use crate::{clock::TimeBudget, error::MeshError};

/// Strategy for distributing configuration versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SpreadMode {
    /// A few readers poll the platform; versions are pushed to random peers and announced in the
    /// periodic exchange.
    #[default]
    Mixed,
    /// Every node polls the platform; nodes do not announce versions to each other.
    Poll,
    /// A few readers poll the platform; versions are pushed but not announced in the periodic
    /// exchange.
    Push,
    /// A few readers poll the platform; versions are announced in the periodic exchange but not
    /// pushed.
    Pull,
}

impl SpreadMode {
    /// Every mode.
    pub const ALL: [Self; 4] = [Self::Mixed, Self::Poll, Self::Push, Self::Pull];

    /// Returns the name used in settings and reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Mixed => "mixed",
            Self::Poll => "poll",
            Self::Push => "push",
            Self::Pull => "pull",
        }
    }
}

impl fmt::Display for SpreadMode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for SpreadMode {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|mode| mode.name() == text)
            .ok_or_else(|| {
                MeshError::invalid(format!(
                    "spread mode {text:?} is not one of mixed, poll, push, pull"
                ))
            })
    }
}

/// Intervals, timeouts and limits of gossip and membership.
#[derive(Clone, Debug)]
pub struct GossipOptions {
    /// Strategy for distributing versions.
    pub mode: SpreadMode,
    /// Whether the whole mesh starts for the first time. Its nodes leave the platform to the selected
    /// readers for a while; a node that starts again reads it at once.
    pub is_first_start: bool,
    /// Mean time between two periodic anti-entropy exchanges.
    pub exchange_interval: TimeBudget,
    /// Time within which a peer must reply to an exchange or a push.
    pub reply_timeout: TimeBudget,
    /// Time that a suspected member has to refute the suspicion before it is declared gone.
    pub suspicion_timeout: TimeBudget,
    /// Time for which the row of a gone member is kept.
    pub tombstone_ttl: TimeBudget,
    /// Time for which a peer that did not reply is not selected.
    pub peer_backoff: TimeBudget,
    /// Minimum time between two rounds of pushes; a change that follows a pause is pushed at once.
    pub push_interval: TimeBudget,
    /// The same for member rows of which only hints have changed. It exceeds `push_interval`, so
    /// that a fleet whose servers' times fluctuate collects many rows into one message.
    pub hint_push_interval: TimeBudget,
    /// Number of rounds in which a change is pushed.
    pub push_rounds: u8,
    /// Number of rounds in which a member's row is pushed; one more when it drains, is
    /// suspected or is gone, and for each change of this node's own row.
    pub member_push_rounds: u8,
    /// Number of peers of its own data centre to which a node pushes in each round.
    pub local_fan_out: usize,
    /// Number of pushes per round that all nodes of a data centre together send to each other data
    /// centre, on average.
    pub remote_fan_out: usize,
    /// Every n-th exchange goes to another data centre.
    pub remote_exchange_period: u32,
    /// Number of peers that are asked to probe a member that did not reply.
    pub indirect_probe_count: usize,
    /// Mean time between two reads of the platform's version row by the same reader.
    pub poll_interval: TimeBudget,
    /// Time after which a fetch from another source may start.
    pub fetch_timeout: TimeBudget,
    /// Maximum number of large transfers that a node sends concurrently.
    pub max_transfers: usize,
    /// Duration of a node's own lease, which its own timer renews.
    pub lease_duration: TimeBudget,
    /// Time that a starting node waits for the platform before it relies on its peers alone.
    pub platform_wait: TimeBudget,
    /// Period after a start in which a node exchanges frequently with several peers.
    pub join_period: TimeBudget,
    /// Time after which a starting node serves the version it holds even if a newer one is known.
    pub startup_timeout: TimeBudget,
    /// How long a starting node that knows no serving peer waits for one that has records.
    pub record_wait: TimeBudget,
    /// Time without contact after which a data centre or the platform counts as unreachable.
    pub silence_timeout: TimeBudget,
}

impl Default for GossipOptions {
    fn default() -> Self {
        Self {
            mode: SpreadMode::Mixed,
            is_first_start: false,
            exchange_interval: TimeBudget::from_millis(1_000),
            reply_timeout: TimeBudget::from_millis(500),
            suspicion_timeout: TimeBudget::from_millis(2_000),
            tombstone_ttl: TimeBudget::from_secs(3_600),
            peer_backoff: TimeBudget::from_millis(2_000),
            push_interval: TimeBudget::from_millis(100),
            hint_push_interval: TimeBudget::from_millis(1_000),
            push_rounds: 3,
            member_push_rounds: 2,
            local_fan_out: 3,
            remote_fan_out: 4,
            remote_exchange_period: 3,
            indirect_probe_count: 2,
            poll_interval: TimeBudget::from_millis(500),
            fetch_timeout: TimeBudget::from_millis(400),
            max_transfers: 4,
            lease_duration: TimeBudget::from_millis(3_000),
            platform_wait: TimeBudget::from_millis(2_000),
            join_period: TimeBudget::from_millis(3_000),
            startup_timeout: TimeBudget::from_millis(8_000),
            record_wait: TimeBudget::from_millis(1_200),
            silence_timeout: TimeBudget::from_millis(5_000),
        }
    }
}
