use bytes::Bytes;
use lz4_flex::block;
use serde::{Deserialize, Serialize};

use crate::{config::MAX_SNAPSHOT_BYTES, error::MeshError};

/// Size of the length that stands before the packed content.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Content that is compressed on its way between nodes.
///
/// Names and values repeat from route to route, so that a configuration shrinks to a fraction; the
/// links of small VMs would else need longer for it than it may take to come into force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedBytes(Bytes);

impl CompressedBytes {
    /// Compresses content.
    #[must_use]
    pub fn compress(content: &[u8]) -> Self {
        Self(Bytes::from(block::compress_prepend_size(content)))
    }

    /// Returns the content.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`](crate::error::ErrorKind::Invalid) when the bytes are malformed or
    /// state a length over the limit of a configuration.
    pub fn decompress(&self) -> Result<Bytes, MeshError> {
        let (length, _) = self
            .0
            .split_first_chunk::<LENGTH_PREFIX_BYTES>()
            .ok_or_else(|| MeshError::invalid("packed content has no length"))?;
        let length = u32::from_le_bytes(*length) as usize;
        if length > MAX_SNAPSHOT_BYTES {
            return Err(MeshError::invalid(format!(
                "packed content states {length} bytes, the limit is {MAX_SNAPSHOT_BYTES}"
            )));
        }
        block::decompress_size_prepended(&self.0)
            .map(Bytes::from)
            .map_err(|error| MeshError::invalid(format!("packed content: {error}")))
    }

    /// Returns the number of bytes that travel.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether nothing travels.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
