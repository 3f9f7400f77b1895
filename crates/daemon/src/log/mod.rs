//! Structured logging: JSON lines with a closed list of event names.

mod event_name;
mod line_batch;
mod log_limiter;
mod node_logger;

pub use event_name::EventName;
pub use line_batch::LineBatch;
pub use log_limiter::LogLimiter;
pub use node_logger::NodeLogger;
pub(crate) use node_logger::REQUEST_TAG;
