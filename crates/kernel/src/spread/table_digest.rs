use serde::{Deserialize, Serialize};

/// Number of buckets into which a replicated table's entries are hashed.
pub const BUCKET_COUNT: usize = 64;

/// Index of a bucket, less than [`BUCKET_COUNT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BucketIndex(u8);

impl BucketIndex {
    /// Returns the bucket of the entry under `key`.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let hash = blake3::hash(key);
        Self(hash.as_bytes()[0] % BUCKET_COUNT as u8)
    }
}

/// Digest of a replicated table, by which two nodes locate the entries that differ.
///
/// Each bucket is the XOR of the hashes of its entries' keys and values, and the root is the XOR of
/// all buckets. The digest thus does not depend on the order in which entries were added.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableDigest {
    buckets: [u64; BUCKET_COUNT],
}

impl Default for TableDigest {
    fn default() -> Self {
        Self {
            buckets: [0; BUCKET_COUNT],
        }
    }
}

impl TableDigest {
    /// Adds an entry, or removes it if it was added before with the same value.
    ///
    /// `value` is the entry's value, or bytes that identify it.
    pub fn toggle(&mut self, key: &[u8], value: &[u8]) {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(key.len() as u64).to_le_bytes());
        hasher.update(key);
        hasher.update(value);
        let mut sum = [0; size_of::<u64>()];
        hasher.finalize_xof().fill(&mut sum);
        let index = usize::from(BucketIndex::of(key).0);
        self.buckets[index] ^= u64::from_le_bytes(sum);
    }

    /// Returns the XOR of all buckets.
    #[must_use]
    pub fn root(&self) -> u64 {
        self.buckets.iter().fold(0, |root, bucket| root ^ bucket)
    }

    /// Returns the bucket hashes, to be sent to a peer.
    #[must_use]
    pub fn to_vec(&self) -> Vec<u64> {
        self.buckets.to_vec()
    }

    /// Returns the buckets that differ from a peer's hashes; none if the peer sent none.
    #[must_use]
    pub fn differing(&self, received: &[u64]) -> Vec<BucketIndex> {
        let pairs = self.buckets.iter().zip(received).enumerate();
        pairs
            .filter(|(_, (own, other))| own != other)
            .map(|(index, _)| BucketIndex(index as u8))
            .collect()
    }
}
