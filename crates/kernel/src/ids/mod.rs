//! Newtypes for names, numbers, counts and hashes.

mod content_hash;
mod key_digest;
mod names;
mod numbers;
mod request_rate;

pub use content_hash::ContentHash;
pub use key_digest::KeyDigest;
pub use names::{
    AccountName, BackendName, BuildVersion, CrewName, DataCentre, HostName, IdempotencyKey,
    MeshName, NodeName, RouteName, ServiceName,
};
pub use numbers::{
    AttemptCount, AttemptToken, ByteCount, IncarnationNumber, MoveNumber, RequestNumber,
    ServiceWeight, SlotCount, VersionNumber,
};
pub use request_rate::RequestRate;
