//! Readers of vendors' health and load reports.
//!
//! Each file holds one reader, which registers itself with the kernel; see
//! [`ReportReader`](bronzelb_kernel::plugin::ReportReader).

mod json_load;
mod plain_status;
mod report_task;
mod slot_share;

pub use report_task::run_reports;
pub(crate) use slot_share::slot_share;
