use crate::error::{ErrorKind, MeshError};

/// Merges the stored value with a received one; fails when the received one is malformed.
pub type RecordMerge = fn(stored: Option<&[u8]>, received: &[u8]) -> Result<Vec<u8>, MeshError>;

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
}

inventory::collect!(RecordKind);

impl RecordKind {
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
