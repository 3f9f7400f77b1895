//! Client accounts: whose key a request presents, whether it may run, and the usage cap of each
//! account over all nodes together.
//!
//! Accounts are part of a configuration version and come into force with it.

mod account_index;
mod checked_key;
mod recent_count;
mod usage_book;
mod usage_bound;
mod usage_bucket;
mod usage_contacts;
mod usage_decision;
mod usage_lease;
mod usage_ledger;
mod usage_message;
mod usage_node;
mod usage_owner;
mod usage_paths;

pub use account_index::AccountIndex;
pub use checked_key::CheckedKey;
pub use recent_count::RecentCount;
pub use usage_book::UsageBook;
pub use usage_bound::UsageBound;
pub use usage_bucket::UsageBucket;
pub use usage_contacts::UsageContacts;
pub use usage_decision::UsageDecision;
pub use usage_lease::UsageLease;
pub use usage_ledger::UsageLedger;
pub use usage_message::{AccountGrant, AccountUsage, RelayStage, UsageReply, UsageReport};
pub use usage_node::{ServedReport, UsageExchange, UsageNode, UsageRelay};
pub use usage_owner::choose_owner;
pub use usage_paths::UsagePaths;
