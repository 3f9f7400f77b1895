//! Readers of vendor-specific health and load reports.
//!
//! Each format module registers one [`ReportReader`](bronzelb_kernel::plugin::ReportReader) with
//! the kernel. The daemon decodes reports with them, and the command-line tool uses them to check
//! that the report format named in an answers file exists. A `use` of this crate links all readers
//! into a program.

mod json_load;
mod plain_status;
mod slot_utilization;

pub(crate) use slot_utilization::slot_utilization;
