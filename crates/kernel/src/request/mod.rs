//! Admission, choice of backend server, retries and at-most-once.
//!
//! The entry node asks [`ServerBook`] for a server and [`RetryBudget`] for a further attempt;
//! [`AdaptiveLimit`] bounds what it keeps outstanding. The node beside a server holds its slots
//! in a [`SlotGate`]. [`KeyLedger`], [`RequestTicket`] and [`ClaimRow`] keep a request with an
//! idempotency key from running twice, and [`CrashRecord`] keeps one that kills servers from
//! running on a third.

mod adaptive_limit;
mod attempt_case;
mod attempt_outcome;
mod caller_patience;
mod claim_row;
mod crash_record;
mod key_ledger;
mod report_filter;
mod request_ticket;
mod retry_budget;
mod server_book;
mod server_stat;
mod shared_budget;
mod slot_gate;
mod time_publisher;

pub use adaptive_limit::AdaptiveLimit;
pub use attempt_case::{AttemptCase, RetryVerdict};
pub use attempt_outcome::AttemptOutcome;
pub use caller_patience::CallerPatience;
pub use claim_row::{ClaimOutcome, ClaimRow, ClaimSight, MAX_CLAIM_BODY};
pub use crash_record::{CRASH_KIND, CrashRecord, CrashSuspicion, ServerLife};
pub use key_ledger::{KEY_MEMORY, KeyEnd, KeyLedger, KeyVerdict};
pub use report_filter::ReportFilter;
pub use request_ticket::RequestTicket;
pub use retry_budget::{RetryBudget, RetryCase};
pub use server_book::{ChoiceRule, PaceGoal, ServerBook};
pub use server_stat::{ServerLoad, ServerPlace};
pub use shared_budget::{BudgetRule, SharedBudget};
pub use slot_gate::{GateChange, GateVerdict, QueuePlace, RefusedWaiter, SlotGate, SlotOffer};
pub use time_publisher::TimePublisher;
