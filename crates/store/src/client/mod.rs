//! Platform client and registry of platform kinds.

mod era_tracker;
mod operator_calls;
mod platform_calls;
mod platform_client;
mod platform_kind;
mod token_write;

pub use era_tracker::EraTracker;
pub use operator_calls::{OperatorCalls, OperatorUpdates, WatchRequest};
pub use platform_calls::{CallFuture, PlatformCalls};
pub use platform_client::PlatformClient;
pub use platform_kind::{PlatformKind, PlatformTarget};
