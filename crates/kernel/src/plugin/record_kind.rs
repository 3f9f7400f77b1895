use crate::{
    clock::ClockInstant,
    error::{ErrorKind, MeshError},
};

/// Merges the stored value with a received one; fails when the received one is malformed.
pub type RecordMerge = fn(stored: Option<&[u8]>, received: &[u8]) -> Result<Vec<u8>, MeshError>;

/// Returns when a value expires; `None` if it is kept.
pub type RecordExpiry = fn(value: &[u8]) -> Option<ClockInstant>;

/// Kind of small mergeable record that nodes replicate among each other.
///
/// The merge must be commutative, associative and idempotent, so that replicas converge regardless
/// of the order of arrival.
#[derive(Clone, Copy, Debug)]
pub struct RecordKind {
    /// Name that is sent with each record.
    pub name: &'static str,
    /// Size limit of one record's value.
    pub max_bytes: usize,
    /// Merges the stored value with a received one; fails when the received one is malformed.
    pub merge: RecordMerge,
    /// Returns when a value expires, for kinds whose records are dropped some time.
    pub expires_at: Option<RecordExpiry>,
}

inventory::collect!(RecordKind);

impl RecordKind {
    /// Returns whether `value` is to be dropped.
    #[must_use]
    pub fn is_expired(&self, value: &[u8], now: ClockInstant) -> bool {
        let expires_at = self.expires_at.and_then(|expires_at| expires_at(value));
        expires_at.is_some_and(|instant| instant.has_passed(now))
    }

    /// Returns the kind that is registered under `name`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`] when no kind has that name.
    pub fn find(name: &str) -> Result<&'static Self, MeshError> {
        inventory::iter::<Self>
            .into_iter()
            .find(|kind| kind.name == name)
            .ok_or_else(|| {
                MeshError::new(
                    ErrorKind::NotFound,
                    format!("record kind {name:?} does not exist"),
                )
            })
    }
}
