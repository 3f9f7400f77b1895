//! Error kinds and the response that each kind maps to.

mod error_kind;
mod error_response;
mod mesh_error;

pub use error_kind::ErrorKind;
pub use error_response::{ErrorResponse, RunState};
pub use mesh_error::MeshError;
