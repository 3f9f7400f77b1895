//! Identifiers, sizes and rates as types of their own.

mod content_hash;
mod counts;
mod names;

pub use content_hash::ContentHash;
pub use counts::{
    AttemptToken, ByteCount, IncarnationNumber, MoveNumber, RequestNumber, SlotCount, VersionNumber,
};
pub use names::{
    BackendName, BuildVersion, CrewName, DataCentre, IdempotencyKey, MeshName, NodeName, RouteName,
    ServiceName,
};
