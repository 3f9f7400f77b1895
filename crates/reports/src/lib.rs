//! Readers of vendors' health and load reports.
//!
//! Each file holds one reader, which registers itself with the kernel; see
//! [`ReportReader`](bronzelb_kernel::plugin::ReportReader). The daemon reads reports by them, and
//! the command-line tool checks by them that the format in a team's answers exists. A program
//! that names this crate in a `use` item has every reader.

mod json_load;
mod plain_status;
mod slot_share;

pub(crate) use slot_share::slot_share;
