use serde::{Deserialize, Serialize};

/// Number of buckets into which a replicated table's entries are hashed.
pub const BUCKET_COUNT: usize = 64;

/// Number of one bucket, below [`BUCKET_COUNT`].
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

/// Sum of a replicated table's content, by which two nodes find out where they differ.
///
/// Each entry adds a hash of its key and version to one bucket, and the root combines all buckets.
/// Two tables with the same entries have the same digest in whatever order the entries came.
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
    /// Adds an entry, or removes it when it was added before.
    pub fn toggle(&mut self, key: &[u8], version: &[u8]) {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(key.len() as u64).to_le_bytes());
        hasher.update(key);
        hasher.update(version);
        let mut sum = [0; size_of::<u64>()];
        hasher.finalize_xof().fill(&mut sum);
        let index = usize::from(BucketIndex::of(key).0);
        self.buckets[index] ^= u64::from_le_bytes(sum);
    }

    /// Returns the sum over all buckets.
    #[must_use]
    pub fn root(&self) -> u64 {
        self.buckets.iter().fold(0, |root, bucket| root ^ bucket)
    }

    /// Returns the buckets' sums, to be sent to a peer.
    #[must_use]
    pub fn to_vec(&self) -> Vec<u64> {
        self.buckets.to_vec()
    }

    /// Returns the buckets that differ from a peer's sums, or none when the peer sent none.
    #[must_use]
    pub fn differing(&self, received: &[u64]) -> Vec<BucketIndex> {
        let pairs = self.buckets.iter().zip(received).enumerate();
        pairs
            .filter(|(_, (own, other))| own != other)
            .map(|(index, _)| BucketIndex(index as u8))
            .collect()
    }
}
