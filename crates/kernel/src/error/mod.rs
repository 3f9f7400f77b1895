//! The closed list of error kinds, and the answer that each one gets.

mod error_answer;
mod error_kind;
mod mesh_error;

pub use error_answer::{ErrorAnswer, RunState};
pub use error_kind::ErrorKind;
pub use mesh_error::MeshError;
