//! Calls that a running request makes to other services.
//!
//! Answers the load of a service that serves both callers and the runs of other services: a refused
//! call fails a run that has already held a slot elsewhere, so calls go before new requests of the
//! same account and route priority. A call belongs to the account of its run, over any number of nodes.
//!
//! - [`RunRegistry`]: runs in progress beside a node, from which a call's rank follows
//! - [`CallRoutes`]: routes that only runs of another service use
//! - [`RunRank`]: account of a run and its calls

mod call_routes;
mod run_rank;
mod run_registry;

pub use call_routes::CallRoutes;
pub use run_rank::RunRank;
pub use run_registry::{RunNumber, RunRegistry};
