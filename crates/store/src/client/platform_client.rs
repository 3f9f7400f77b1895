use std::{fmt, rc::Rc};

use bronzelb_kernel::{clock::ClockInstant, error::MeshError, ids::AttemptToken};
use bytes::Bytes;
use compact_str::CompactString;

use crate::{
    client::{EraTracker, OperatorCalls, PlatformCalls, PlatformKind, PlatformTarget, token_write},
    table::{RowKey, RowRevision, RowWrite, ScanPage, TableRow},
};

/// Client for the platform's table service and object store.
///
/// Every call completes by its deadline. A connection failure, an expired deadline and a server
/// error response all result in [`ErrorKind::PlatformAway`]. Clones share their connections and
/// cannot leave the thread that created them.
///
/// [`ErrorKind::PlatformAway`]: bronzelb_kernel::error::ErrorKind::PlatformAway
#[derive(Clone)]
pub struct PlatformClient {
    calls: Rc<PlatformCalls>,
}

impl PlatformClient {
    /// Creates a client of the registered kind `kind`; the first call opens the first connection.
    ///
    /// # Errors
    ///
    /// `NotFound` for an unknown kind, and `Invalid` for an address that the kind does not accept.
    pub fn connect(kind: &str, target: &PlatformTarget) -> Result<Self, MeshError> {
        Self::connect_with_eras(kind, target, EraTracker::default())
    }

    /// Creates a client that shares what is known of the platform's eras with others.
    ///
    /// # Errors
    ///
    /// Those of [`connect`](Self::connect).
    pub fn connect_with_eras(
        kind: &str,
        target: &PlatformTarget,
        eras: EraTracker,
    ) -> Result<Self, MeshError> {
        let kind = PlatformKind::find(kind)?;
        Ok(Self::from_calls((kind.connect)(target, eras)?))
    }

    /// Creates a client from calls, such as those of a test double.
    #[must_use]
    pub fn from_calls(calls: PlatformCalls) -> Self {
        Self {
            calls: Rc::new(calls),
        }
    }

    /// Reads the row under `key`; `None` if there is none.
    ///
    /// # Errors
    ///
    /// `PlatformAway`, or `Invalid` for a malformed or oversized response.
    pub async fn get_row(
        &self,
        key: &RowKey,
        deadline: ClockInstant,
    ) -> Result<Option<TableRow>, MeshError> {
        (self.calls.get_row)(key.clone(), deadline).await
    }

    /// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`.
    ///
    /// # Errors
    ///
    /// `PlatformAway`, or `Invalid` for a malformed or oversized response.
    pub async fn scan_rows(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
        deadline: ClockInstant,
    ) -> Result<ScanPage, MeshError> {
        (self.calls.scan_rows)(prefix.into(), after.cloned(), limit, deadline).await
    }

    /// Writes rows atomically: all of them if every precondition holds, otherwise none.
    ///
    /// # Errors
    ///
    /// `Conflict` names the first row whose precondition failed, or says that the platform has
    /// returned to an older copy since a row was read; nothing was written.
    /// `PlatformAway` means that the outcome is **unknown**: the write may have taken effect, may
    /// still take effect, or may never do so. See [`transact_with_token`](Self::transact_with_token).
    pub async fn transact(
        &self,
        writes: Vec<RowWrite>,
        deadline: ClockInstant,
    ) -> Result<RowRevision, MeshError> {
        (self.calls.transact)(writes, deadline).await
    }

    /// Writes rows atomically, and resolves a lost response by reading the first row back.
    ///
    /// The value of the first write must be a JSON object with `token` in its field `attempt`, and
    /// its precondition must be a revision or absence; both together make a retry safe.
    ///
    /// # Errors
    ///
    /// - `Conflict`: another writer was first; nothing was written.
    /// - `OutcomeUnknown`: a response was lost, and another writer has since changed a row.
    /// - `PlatformAway`: the deadline expired first; the write may have taken effect.
    /// - `Invalid`: the first write is unconditional or its value lacks the token.
    pub async fn transact_with_token(
        &self,
        writes: Vec<RowWrite>,
        token: AttemptToken,
        deadline: ClockInstant,
    ) -> Result<RowRevision, MeshError> {
        token_write::transact(self, writes, token, deadline).await
    }

    /// Stores `body` under `name`, replacing any existing object.
    ///
    /// # Errors
    ///
    /// `PlatformAway`; the object may have been stored.
    pub async fn put_object(
        &self,
        name: &str,
        body: Bytes,
        deadline: ClockInstant,
    ) -> Result<(), MeshError> {
        (self.calls.put_object)(CompactString::from(name), body, deadline).await
    }

    /// Reads the object under `name`; `None` if there is none.
    ///
    /// # Errors
    ///
    /// `PlatformAway`, or `TooLarge` for an oversized object.
    pub async fn get_object(
        &self,
        name: &str,
        deadline: ClockInstant,
    ) -> Result<Option<Bytes>, MeshError> {
        (self.calls.get_object)(CompactString::from(name), deadline).await
    }
}

impl PlatformClient {
    /// Returns the calls for operator documents, if operators write to the platform directly.
    #[must_use]
    pub fn operators(&self) -> Option<&OperatorCalls> {
        self.calls.operators.as_ref()
    }
}

impl fmt::Debug for PlatformClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PlatformClient(..)")
    }
}
