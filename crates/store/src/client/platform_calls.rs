use std::{future::Future, pin::Pin};

use bronzelb_kernel::{clock::ClockInstant, error::MeshError};
use bytes::Bytes;
use compact_str::CompactString;

use crate::{
    client::OperatorCalls,
    table::{RowKey, RowRevision, RowWrite, ScanPage, TableRow},
};

/// Future returned by a platform call.
pub type CallFuture<T> = Pin<Box<dyn Future<Output = Result<T, MeshError>>>>;

type GetRow = dyn Fn(RowKey, ClockInstant) -> CallFuture<Option<TableRow>>;
type ScanRows = dyn Fn(CompactString, Option<RowKey>, usize, ClockInstant) -> CallFuture<ScanPage>;
type Transact = dyn Fn(Vec<RowWrite>, ClockInstant) -> CallFuture<RowRevision>;
type PutObject = dyn Fn(CompactString, Bytes, ClockInstant) -> CallFuture<()>;
type GetObject = dyn Fn(CompactString, ClockInstant) -> CallFuture<Option<Bytes>>;

/// Operations of a platform kind; each takes its deadline as the last argument.
pub struct PlatformCalls {
    /// Reads a row.
    pub get_row: Box<GetRow>,
    /// Reads rows by key prefix, starting after a key and up to a limit.
    pub scan_rows: Box<ScanRows>,
    /// Writes rows atomically.
    pub transact: Box<Transact>,
    /// Stores an object.
    pub put_object: Box<PutObject>,
    /// Reads an object.
    pub get_object: Box<GetObject>,
    /// Calls for operator documents, if operators write to the platform directly.
    pub operators: Option<OperatorCalls>,
}
