use std::{fmt, str::FromStr};

use serde::Deserialize;

use crate::{clock::TimeBudget, error::MeshError};

/// How configuration versions spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SpreadMode {
    /// Few readers, pushes to a random fan-out, and a periodic exchange.
    #[default]
    Mixed,
    /// Every node polls the platform; nodes do not tell each other of versions.
    Poll,
    /// Few readers and pushes; the periodic exchange does not show versions.
    Push,
    /// Few readers and the periodic exchange; no pushes of versions.
    Pull,
}

impl SpreadMode {
    /// Every mode.
    pub const ALL: [Self; 4] = [Self::Mixed, Self::Poll, Self::Push, Self::Pull];

    /// Returns the name that appears in settings and reports.
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

/// Intervals and limits of spreading and membership.
#[derive(Clone, Debug)]
pub struct GossipOptions {
    /// How versions spread.
    pub mode: SpreadMode,
    /// Time between two periodic exchanges.
    pub exchange_interval: TimeBudget,
    /// Time in which a peer must answer an exchange or a push.
    pub reply_timeout: TimeBudget,
    /// Time that a suspect has to refute before it is removed.
    pub suspicion_timeout: TimeBudget,
    /// Time for which a gone member's row is kept.
    pub tombstone_ttl: TimeBudget,
    /// Time for which a peer that did not answer is not chosen for pushes.
    pub peer_backoff: TimeBudget,
    /// Time between two rounds of pushes.
    pub push_interval: TimeBudget,
    /// Rounds in which a change is pushed.
    pub push_rounds: u8,
    /// Rounds in which a member's row is pushed; one more when the member leaves.
    pub member_push_rounds: u8,
    /// Peers of the own data centre that each round reaches.
    pub local_fan_out: usize,
    /// Pushes a round that the nodes of a data centre together send to each other data centre.
    pub remote_fan_out: usize,
    /// Every how many exchanges one goes to another data centre.
    pub remote_exchange_period: u32,
    /// Peers that are asked to probe a member that did not answer.
    pub indirect_probe_count: usize,
    /// Mean time between two reads of the platform's version row by one reader.
    pub poll_interval: TimeBudget,
    /// Time after which another source is asked beside a late one.
    pub fetch_timeout: TimeBudget,
    /// Whole snapshots that a node sends at once.
    pub max_transfers: usize,
    /// Time for which a node's own lease holds without a renewal by its own timer.
    pub lease_duration: TimeBudget,
    /// Time that a starting node waits for the platform before it goes by its peers.
    pub platform_wait: TimeBudget,
    /// Time for which a node that has started exchanges often with many peers.
    pub join_period: TimeBudget,
    /// Time after which a starting node serves what it has.
    pub startup_timeout: TimeBudget,
    /// Silence after which a data centre counts as cut off.
    pub silence_timeout: TimeBudget,
}

impl Default for GossipOptions {
    fn default() -> Self {
        Self {
            mode: SpreadMode::Mixed,
            exchange_interval: TimeBudget::from_millis(1_000),
            reply_timeout: TimeBudget::from_millis(500),
            suspicion_timeout: TimeBudget::from_millis(2_000),
            tombstone_ttl: TimeBudget::from_secs(3_600),
            peer_backoff: TimeBudget::from_millis(2_000),
            push_interval: TimeBudget::from_millis(100),
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
            silence_timeout: TimeBudget::from_millis(5_000),
        }
    }
}
