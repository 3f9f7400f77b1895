use std::{fmt, str::FromStr};

use bronzelb_kernel::error::MeshError;
use serde::{Deserialize, Deserializer, de};

const MIN_SECRET_BYTES: usize = 16;
const KEY_CONTEXT: &str = "bronzelb 2026-12-03 peer handshake";

/// Key derived from the secret that all nodes of a mesh share, the setting `mesh_key`.
///
/// Neither the key nor the secret is ever sent, logged or formatted.
#[derive(Clone, PartialEq, Eq)]
pub struct MeshKey([u8; 32]);

impl MeshKey {
    /// Returns the keyed hash of `transcript`, which proves knowledge of the key.
    #[must_use]
    pub(crate) fn compute_proof(&self, transcript: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, transcript)
    }
}

impl fmt::Debug for MeshKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("MeshKey(..)")
    }
}

impl FromStr for MeshKey {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() < MIN_SECRET_BYTES {
            return Err(MeshError::invalid(format!(
                "mesh key is shorter than {MIN_SECRET_BYTES} characters"
            )));
        }
        Ok(Self(blake3::derive_key(KEY_CONTEXT, text.as_bytes())))
    }
}

impl<'de> Deserialize<'de> for MeshKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = compact_str::CompactString::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
