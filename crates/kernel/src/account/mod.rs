//! Client accounts: the usage cap of each account over all nodes together.

mod recent_count;
mod usage_book;
mod usage_bucket;
mod usage_contacts;
mod usage_decision;
mod usage_lease;
mod usage_ledger;
mod usage_message;
mod usage_node;
mod usage_owner;
mod usage_paths;

pub use recent_count::RecentCount;
pub use usage_book::UsageBook;
pub use usage_bucket::UsageBucket;
pub use usage_contacts::UsageContacts;
pub use usage_decision::UsageDecision;
pub use usage_lease::UsageLease;
pub use usage_ledger::UsageLedger;
pub use usage_message::{AccountGrant, AccountUsage, RelayStage, UsageReply, UsageReport};
pub use usage_node::{ServedReport, UsageExchange, UsageNode, UsageRelay};
pub use usage_owner::choose_owner;
pub use usage_paths::UsagePaths;
