use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::table::{RowKey, RowRevision};

const ABSENT_REVISION: u64 = 0;

/// What a row must be like for a write to take effect.
///
/// On the wire this is the field `expect`: a revision, `0` for [`RowExpect::Absent`], and `null`
/// for [`RowExpect::Anything`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowExpect {
    /// The row may have any revision or be absent.
    Anything,
    /// The row must not exist.
    Absent,
    /// The row must have this revision.
    Revision(RowRevision),
}

impl RowExpect {
    /// Returns whether a row with `revision`, `None` for an absent one, meets the expectation.
    #[must_use]
    pub fn is_met_by(self, revision: Option<RowRevision>) -> bool {
        match self {
            Self::Anything => true,
            Self::Absent => revision.is_none(),
            Self::Revision(expected) => revision == Some(expected),
        }
    }
}

impl Serialize for RowExpect {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let revision = match self {
            Self::Anything => None,
            Self::Absent => Some(ABSENT_REVISION),
            Self::Revision(revision) => Some(revision.get()),
        };
        revision.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for RowExpect {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let expect = match Option::<u64>::deserialize(deserializer)? {
            None => Self::Anything,
            Some(ABSENT_REVISION) => Self::Absent,
            Some(revision) => Self::Revision(RowRevision::new(revision)),
        };
        Ok(expect)
    }
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowWrite {
    /// Row to write.
    pub key: RowKey,
    /// What the row must be like.
    pub expect: RowExpect,
    /// New value; `None` deletes the row.
    pub value: Option<String>,
}

impl RowWrite {
    /// Builds a write of `value` that takes effect whatever the row is like.
    pub fn put(key: RowKey, value: impl Into<String>) -> Self {
        Self {
            key,
            expect: RowExpect::Anything,
            value: Some(value.into()),
        }
    }

    /// Builds a write that deletes the row.
    #[must_use]
    pub const fn delete(key: RowKey) -> Self {
        Self {
            key,
            expect: RowExpect::Anything,
            value: None,
        }
    }

    /// Sets what the row must be like for the whole transaction to take effect.
    #[must_use]
    pub const fn with_expect(mut self, expect: RowExpect) -> Self {
        self.expect = expect;
        self
    }
}
