//! Platform client and registry of platform kinds.

mod operator_calls;
mod platform_calls;
mod platform_client;
mod platform_kind;
mod token_write;

pub use operator_calls::{OperatorCalls, OperatorUpdates};
pub use platform_calls::{CallFuture, PlatformCalls};
pub use platform_client::PlatformClient;
pub use platform_kind::{PlatformKind, PlatformTarget};
