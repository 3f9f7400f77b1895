//! The client of the platform, and the kinds of platform that register themselves.

mod operator_calls;
mod platform_calls;
mod platform_client;
mod platform_kind;
mod token_write;

pub use operator_calls::{OperatorCalls, OperatorNews};
pub use platform_calls::{CallFuture, PlatformCalls};
pub use platform_client::PlatformClient;
pub use platform_kind::{PlatformKind, PlatformTarget};
