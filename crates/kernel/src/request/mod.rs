//! Admission, choice of backend server, retries and at-most-once.
//!
//! The entry node asks [`ServerBook`] for a server and [`RetryBudget`] for a further attempt;
//! [`AdaptiveLimit`] bounds what it keeps outstanding. The node beside a server holds its slots
//! in a [`SlotGate`].

mod adaptive_limit;
mod attempt_outcome;
mod retry_budget;
mod server_book;
mod server_stat;
mod slot_gate;

pub use adaptive_limit::AdaptiveLimit;
pub use attempt_outcome::AttemptOutcome;
pub use retry_budget::{RetryBudget, RetryCase};
pub use server_book::{ChoiceRule, ServerBook};
pub use server_stat::{ServerLoad, ServerPlace};
pub use slot_gate::{GateChange, GateVerdict, QueuePlace, RefusedWaiter, SlotGate};
