use std::{borrow::Borrow, fmt, str::FromStr};

use bronzelb_kernel::error::MeshError;
use compact_str::CompactString;
use serde::{Deserialize, Deserializer, Serialize, de};

/// Maximum size of a row key in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// Row key, such as `hemelval/version`.
///
/// # Examples
///
/// ```
/// use bronzelb_store::table::RowKey;
///
/// let key: RowKey = "hemelval/version".parse()?;
/// assert_eq!(key.as_str(), "hemelval/version");
/// # Ok::<(), bronzelb_kernel::error::MeshError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct RowKey(CompactString);

impl RowKey {
    /// Returns the key as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl Borrow<str> for RowKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl FromStr for RowKey {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if !text.is_empty() && text.len() <= MAX_KEY_BYTES {
            return Ok(Self(CompactString::from(text)));
        }
        Err(MeshError::invalid(format!(
            "row key of {} bytes is not 1 to {MAX_KEY_BYTES} bytes long",
            text.len()
        )))
    }
}

impl<'de> Deserialize<'de> for RowKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = CompactString::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
