//! Open-loop load generator.
//!
//! Arrivals follow a seeded Poisson process and do not wait for responses. Latency is measured from
//! the scheduled send time, which avoids coordinated omission: a slow system cannot hide its delays
//! by slowing the generator down. Every response is compared with its request.

mod call_outcome;
mod call_record;
mod load_generator;
mod load_plan;
mod load_report;
mod load_route;
mod route_stats;

pub use call_outcome::CallOutcome;
pub use call_record::CallRecord;
pub use load_generator::{run_load, run_load_threads};
pub use load_plan::{LoadPlan, TargetPolicy};
pub use load_report::{LatencySummary, LoadReport, RouteReport};
pub use load_route::LoadRoute;
