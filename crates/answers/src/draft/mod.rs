//! Initial answers of a new mesh, generated as a commented file.

mod draft_text;
mod mesh_draft;
mod service_draft;

pub use mesh_draft::{LinkLatency, MeshDraft};
pub use service_draft::ServiceDraft;
