//! Messages between the entry nodes and the owner of a client account.
//!
//! The kernel defines these types together with the logic that handles them.

pub use bronzelb_kernel::account::{AccountGrant, AccountUsage, UsageReply, UsageReport};
