//! Polling of the backend servers' health and load reports.

mod report_task;

pub use report_task::run_reports;

// Links the crate so that the readers of all vendors are registered.
use bronzelb_reports as _;
