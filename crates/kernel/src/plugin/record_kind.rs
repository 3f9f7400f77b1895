use crate::error::{ErrorKind, MeshError};

/// Merges the held value with a received one; fails when the received one is malformed.
pub type RecordMerge = fn(held: Option<&[u8]>, received: &[u8]) -> Result<Vec<u8>, MeshError>;

/// Kind of small mergeable record that the nodes replicate among themselves.
///
/// A kind's merge must be commutative, associative and idempotent, so that every order of
/// arrival ends in the same value.
#[derive(Clone, Copy, Debug)]
pub struct RecordKind {
    /// Name that travels with each record.
    pub name: &'static str,
    /// Size limit of one record's value.
    pub max_bytes: usize,
    /// Merges the held value with a received one; fails when the received one is malformed.
    pub merge: RecordMerge,
}

inventory::collect!(RecordKind);

impl RecordKind {
    /// Returns the kind that registered under `name`.
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
