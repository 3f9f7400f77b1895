use std::fmt;

use crate::{
    holding::VmLimits,
    ids::{ByteCount, ConnectionCount},
};

/// Parts of the VM's memory that clients may hold: the rest is for the node's own state, for buffers
/// that grow, and for what the allocator cannot return.
const HELD_MEMORY: (u64, u64) = (3, 8);
/// Parts of what clients may hold that are left to small holders.
const SMALL_RESERVE: (u64, u64) = (1, 4);
/// Parts of what clients may hold that large responses may fill while they are received, so that
/// servers that send without end do not displace callers.
const RECEIVED_RESPONSES: (u64, u64) = (1, 2);
/// Parts of what clients may hold that responses may use which are kept for repeated requests.
const STORED_RESPONSES: (u64, u64) = (1, 4);
/// Parts of the descriptors that callers' connections may take: the rest is for connections to nodes,
/// servers and the platform, and for the other listeners.
const CALLER_DESCRIPTORS: (u32, u32) = (2, 5);
/// Parts of the descriptors that the connections of each other listener may take.
const OTHER_DESCRIPTORS: (u32, u32) = (1, 16);
/// Fewest and most connections of a listener that is not for callers.
const OTHER_CONNECTIONS: (u32, u32) = (8, 64);

/// Listener at which a connection arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionKind {
    /// Listener for callers.
    Caller,
    /// Listeners for the servers beside the node and for the VM's supervisor.
    Local,
    /// Listener for operators.
    Operator,
    /// Listener for metrics.
    Metrics,
    /// Listener for other nodes, until the handshake has ended.
    Handshake,
}

impl ConnectionKind {
    /// Every kind.
    pub const ALL: [Self; 5] = [
        Self::Caller,
        Self::Local,
        Self::Operator,
        Self::Metrics,
        Self::Handshake,
    ];

    /// Returns the name in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Local => "local",
            Self::Operator => "operator",
            Self::Metrics => "metrics",
            Self::Handshake => "handshake",
        }
    }
}

impl fmt::Display for ConnectionKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Limits that the settings of a node state in place of those that follow from the VM's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitOverrides {
    /// Memory that clients may hold.
    pub held: Option<ByteCount>,
    /// Connections of callers.
    pub callers: Option<ConnectionCount>,
    /// Connections of each other listener.
    pub others: Option<ConnectionCount>,
}

/// What clients may hold of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldingLimits {
    vm: VmLimits,
    overrides: LimitOverrides,
}

impl HoldingLimits {
    /// Builds the limits of a node.
    #[must_use]
    pub const fn new(vm: VmLimits, overrides: LimitOverrides) -> Self {
        Self { vm, overrides }
    }

    /// Returns these limits with the VM's limits as they are now.
    #[must_use]
    pub const fn with_vm(self, vm: VmLimits) -> Self {
        Self { vm, ..self }
    }

    /// Returns the limits of the VM.
    #[must_use]
    pub const fn vm(&self) -> VmLimits {
        self.vm
    }

    /// Returns the memory that all clients may hold together.
    #[must_use]
    pub fn held(&self) -> ByteCount {
        let default = part(self.vm.memory.get(), HELD_MEMORY);
        self.overrides.held.unwrap_or(ByteCount::new(default))
    }

    /// Returns the memory that is left to small holders.
    #[must_use]
    pub fn small_reserve(&self) -> ByteCount {
        ByteCount::new(part(self.held().get(), SMALL_RESERVE))
    }

    /// Returns the memory that large responses may hold while they are received.
    #[must_use]
    pub fn received_responses(&self) -> ByteCount {
        ByteCount::new(part(self.held().get(), RECEIVED_RESPONSES))
    }

    /// Returns the memory that responses may hold which are kept for repeated requests.
    #[must_use]
    pub fn stored_responses(&self) -> ByteCount {
        ByteCount::new(part(self.held().get(), STORED_RESPONSES))
    }

    /// Returns the number of connections that a listener may have.
    #[must_use]
    pub fn connections(&self, kind: ConnectionKind) -> ConnectionCount {
        let descriptors = self.vm.descriptors.get();
        let share = |(numerator, divisor): (u32, u32)| descriptors / divisor * numerator;
        let (least, most) = OTHER_CONNECTIONS;
        let (stated, default) = match kind {
            ConnectionKind::Caller => (self.overrides.callers, share(CALLER_DESCRIPTORS)),
            _ => (
                self.overrides.others,
                share(OTHER_DESCRIPTORS).clamp(least, most),
            ),
        };
        stated.unwrap_or(ConnectionCount::new(default.max(1)))
    }
}

const fn part(whole: u64, (numerator, divisor): (u64, u64)) -> u64 {
    whole / divisor * numerator
}
