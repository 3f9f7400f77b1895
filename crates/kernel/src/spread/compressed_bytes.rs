use bytes::Bytes;
use lz4_flex::block;
use serde::{Deserialize, Serialize};

use crate::{config::MAX_SNAPSHOT_BYTES, error::MeshError};

/// Size of the length prefix, which states the uncompressed size.
const LENGTH_PREFIX_BYTES: usize = 4;

/// LZ4-compressed content, as nodes send it to each other.
///
/// Routes repeat the same names and values, so a configuration compresses to a fraction of its
/// size. Uncompressed, its transfer over the links of small VMs would exceed the propagation
/// deadline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedBytes(Bytes);

impl CompressedBytes {
    /// Compresses `content`.
    #[must_use]
    pub fn compress(content: &[u8]) -> Self {
        Self(Bytes::from(block::compress_prepend_size(content)))
    }

    /// Decompresses the content.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`](crate::error::ErrorKind::Invalid) when the bytes are malformed or the
    /// length prefix exceeds the maximum size of a configuration.
    pub fn decompress(&self) -> Result<Bytes, MeshError> {
        let (length, _) = self
            .0
            .split_first_chunk::<LENGTH_PREFIX_BYTES>()
            .ok_or_else(|| MeshError::invalid("compressed content has no length prefix"))?;
        let length = u32::from_le_bytes(*length) as usize;
        if length > MAX_SNAPSHOT_BYTES {
            return Err(MeshError::invalid(format!(
                "compressed content states a size of {length} bytes, the limit is {MAX_SNAPSHOT_BYTES}"
            )));
        }
        block::decompress_size_prepended(&self.0)
            .map(Bytes::from)
            .map_err(|error| MeshError::invalid(format!("compressed content: {error}")))
    }

    /// Returns the compressed size in bytes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the compressed form is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
