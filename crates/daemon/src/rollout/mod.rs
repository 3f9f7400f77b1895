//! Version moves on this node: traffic shares, collected evidence and the platform's move rows.

mod burn_endpoints;
mod evidence_sender;
mod move_endpoints;
mod move_order;
mod move_reconciler;
mod rollout_state;
mod rollout_task;

pub(crate) use burn_endpoints::{configure_burn, record_burn};
pub use evidence_sender::run_evidence;
pub(crate) use move_endpoints::configure_moves;
pub use move_endpoints::{MoveReport, RouteShare};
pub(crate) use move_order::apply_order;
pub use move_reconciler::run_move_rows;
pub use rollout_state::RolloutState;
pub use rollout_task::run_rollout;
