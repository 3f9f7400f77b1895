//! Newtypes for names, numbers, counts and hashes.

mod content_hash;
mod counts;
mod names;

pub use content_hash::ContentHash;
pub use counts::{
    AttemptCount, AttemptToken, ByteCount, IncarnationNumber, MoveNumber, RequestNumber,
    ServiceWeight, SlotCount, VersionNumber,
};
pub use names::{
    BackendName, BuildVersion, CrewName, DataCentre, HostName, IdempotencyKey, MeshName, NodeName,
    RouteName, ServiceName,
};
