//! The closed list of error kinds, and the answer that each one gets.

mod error_kind;
mod error_response;
mod mesh_error;

pub use error_kind::ErrorKind;
pub use error_response::{ErrorResponse, RunState};
pub use mesh_error::MeshError;
