//! Newtypes for names, numbers, counts and hashes.

mod content_hash;
mod key_digest;
mod move_number;
mod names;
mod numbers;
mod request_rate;
mod row_revision;

pub use content_hash::ContentHash;
pub use key_digest::KeyDigest;
pub use move_number::MoveNumber;
pub use names::{
    AccountName, BackendName, BuildVersion, CrewName, DataCentre, HostName, IdempotencyKey,
    MeshName, NodeName, RouteName, ServiceName,
};
pub use numbers::{
    AttemptCount, AttemptToken, ByteCount, ConnectionCount, DescriptorCount, HolderId,
    IncarnationNumber, RequestNumber, ServiceWeight, SlotCount, StoreEra, VersionNumber,
};
pub use request_rate::RequestRate;
pub use row_revision::RowRevision;
