//! Memory, connections and descriptors that a node holds for its clients.
//!
//! - [`VmLimits`]: what the VM grants the node's process
//! - [`HoldingLimits`]: the parts of it that clients may hold
//! - [`HoldingLedger`]: what they hold, and which connection is closed to make room

mod holding_ledger;
mod holding_limits;
mod vm_limits;

pub use holding_ledger::{ClosedConnection, ConnectionStage, HoldingLedger, RoomDecision};
pub use holding_limits::{ConnectionKind, HoldingLimits, LimitOverrides};
pub use vm_limits::VmLimits;
