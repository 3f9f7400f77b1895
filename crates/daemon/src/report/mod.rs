//! Readers of vendors' health and load reports.
//!
//! Each file holds one reader, which registers itself with the kernel; see
//! [`ReportReader`](bronzelb_kernel::plugin::ReportReader).

mod json_load;
mod plain_status;
mod slot_share;

pub(crate) use slot_share::slot_share;
