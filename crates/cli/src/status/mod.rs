//! Status of the nodes of a mesh.

mod mesh_status;
mod status_command;
mod status_table;

pub(crate) use mesh_status::MeshStatus;
pub(crate) use status_command::STATUS_COMMAND;
