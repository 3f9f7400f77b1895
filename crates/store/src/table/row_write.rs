use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::table::{RowKey, RowRevision};

const ABSENT_REVISION: RowRevision = RowRevision::new(0);

/// Precondition on a row for a write to take effect.
///
/// Serialized as the field `expect`: a revision, `0` for [`RowPrecondition::Absent`], or `null` for
/// [`RowPrecondition::Any`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowPrecondition {
    /// The row may be absent or have any revision.
    Any,
    /// The row must not exist.
    Absent,
    /// The row must have this revision.
    Revision(RowRevision),
}

impl RowPrecondition {
    /// Returns whether a row with `revision` meets the precondition; `None` means that the row is
    /// absent.
    #[must_use]
    pub fn is_met_by(self, revision: Option<RowRevision>) -> bool {
        match self {
            Self::Any => true,
            Self::Absent => revision.is_none(),
            Self::Revision(required) => revision == Some(required),
        }
    }
}

impl Serialize for RowPrecondition {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let revision = match self {
            Self::Any => None,
            Self::Absent => Some(ABSENT_REVISION),
            Self::Revision(revision) => Some(*revision),
        };
        revision.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for RowPrecondition {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let precondition = match Option::<RowRevision>::deserialize(deserializer)? {
            None => Self::Any,
            Some(ABSENT_REVISION) => Self::Absent,
            Some(revision) => Self::Revision(revision),
        };
        Ok(precondition)
    }
}

/// A single write within a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowWrite {
    /// Row to write.
    pub key: RowKey,
    /// Precondition on the row.
    #[serde(rename = "expect")]
    pub precondition: RowPrecondition,
    /// New value; `None` deletes the row.
    pub value: Option<String>,
}

impl RowWrite {
    /// Creates an unconditional write of `value`.
    pub fn put(key: RowKey, value: impl Into<String>) -> Self {
        Self {
            key,
            precondition: RowPrecondition::Any,
            value: Some(value.into()),
        }
    }

    /// Creates an unconditional deletion.
    #[must_use]
    pub const fn delete(key: RowKey) -> Self {
        Self {
            key,
            precondition: RowPrecondition::Any,
            value: None,
        }
    }

    /// Sets the precondition, without which the whole transaction has no effect.
    #[must_use]
    pub const fn with_precondition(mut self, precondition: RowPrecondition) -> Self {
        self.precondition = precondition;
        self
    }
}
