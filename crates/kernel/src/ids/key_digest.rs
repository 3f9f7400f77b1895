use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::ContentHash;

/// Context that separates digests of API keys from other hashes.
const KEY_CONTEXT: &[u8] = b"bronzelb account key\0";

/// Digest of a client account's API key.
///
/// The key itself is not kept. Its digest is not shown either, since a short key could be guessed
/// from it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(ContentHash);

impl KeyDigest {
    /// Computes the digest of an API key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(ContentHash::of(&[KEY_CONTEXT, key].concat()))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
