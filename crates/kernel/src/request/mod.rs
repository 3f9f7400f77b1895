//! Admission control, load balancing, retries and at-most-once execution of requests.
//!
//! The entry node selects a backend server with [`LoadBalancer`], asks [`RetryBudget`] or
//! [`SharedBudget`] before it retries, and bounds its outstanding requests with
//! [`AdaptiveLimit`]. The node beside a server assigns the server's slots with an
//! [`AdmissionQueue`], whose [`RatePacer`] holds the rate limit that the server states and whose
//! [`ServerSpeed`] follows how fast the server works. [`IdempotencyCache`], [`RequestTicket`] and
//! [`ClaimRow`] prevent a request with an idempotency key from running twice. [`CrashRecord`] quarantines a request after it has
//! crashed two servers.

mod account_rank;
mod adaptive_limit;
mod admission_queue;
mod attempt_context;
mod attempt_outcome;
mod call;
mod claim_row;
mod class_load;
mod cold_pacer;
mod cold_state;
mod crash_record;
mod fair_order;
mod health_debouncer;
mod idempotency_cache;
mod limit_publisher;
mod load_average;
mod load_balancer;
mod load_placement;
mod notice_table;
mod rate_pacer;
mod request_ticket;
mod retry_budget;
mod server_speed;
mod server_stats;
mod shared_budget;
mod slot_hold;
mod slowdown;
mod time_publisher;
mod wait_estimator;

pub use account_rank::AccountRank;
pub use adaptive_limit::AdaptiveLimit;
pub use admission_queue::{
    AdmissionDecision, AdmissionQueue, AdmissionRequest, AdmissionUpdate, QueueKey, RefusedRequest,
};
pub use attempt_context::{AttemptContext, RetryDecision};
pub use attempt_outcome::AttemptOutcome;
pub use call::{CallRoutes, RunNumber, RunRank, RunRegistry};
pub use claim_row::{ClaimOutcome, ClaimRow, ClaimStatus, MAX_CLAIM_BODY_BYTES};
pub use cold_pacer::{ColdLimit, ColdPacer};
pub use cold_state::ColdState;
pub use crash_record::{CRASH_RECORD_KIND, CrashRecord, CrashStatus, ServerInstance};
pub use fair_order::{FairOrder, FairPlan, FairTurn, VirtualTime};
pub use health_debouncer::HealthDebouncer;
pub use idempotency_cache::{IdempotencyCache, KEY_RETENTION, KeyDecision, KeyOutcome};
pub use limit_publisher::LimitPublisher;
pub use load_balancer::{LatencyTarget, LoadBalancer, SelectionCriteria};
pub use rate_pacer::RatePacer;
pub use request_ticket::RequestTicket;
pub use retry_budget::{RetryBudget, RetryContext};
pub use server_speed::ServerSpeed;
pub use server_stats::{ServerLoad, ServerLocation};
pub use shared_budget::{RetryPolicy, SharedBudget};
pub use slowdown::Slowdown;
pub use time_publisher::TimePublisher;
pub use wait_estimator::WaitEstimator;
