//! Plug-in interfaces for formats and protocols.
//!
//! A plug-in is a struct of function pointers that is registered through [`inventory`]. Adding one
//! takes one file and no change elsewhere.

mod operator_document;
mod record_kind;
mod report_reader;
mod wire_dialect;

pub use crate::placement::EvacuationOrder;
pub use operator_document::{DocumentContext, MoveOrder, OperatorDocument};
pub use record_kind::{RecordExpiry, RecordKind, RecordMerge};
pub use report_reader::{LoadReport, ReportReader};
pub use wire_dialect::{
    AccountKeyHeader, CallerDialect, LocalDialect, LocalRequest, ResponseHeaders, ServerDialect,
    ServerNotice, WireDialect,
};
