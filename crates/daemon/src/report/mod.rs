//! Reading of the backend servers' health and load reports.

mod report_task;

pub use report_task::run_reports;

// Registers every vendor's reader.
use bronzelb_reports as _;
