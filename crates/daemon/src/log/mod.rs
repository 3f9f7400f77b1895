//! Structured logs: JSON lines with a closed list of event names.

mod event_name;
mod line_budget;
mod node_logger;

pub use event_name::EventName;
pub use line_budget::LineBudget;
pub use node_logger::NodeLogger;
