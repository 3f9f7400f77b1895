//! Local mesh of separate processes on loopback addresses, for tests, trials and experiments.
//!
//! Node `n` of data centre `d` listens on `127.x.d.n`, where `x` is unique to the mesh, and binds
//! its outgoing connections to that address. Connections to peer listeners and to the platform go
//! through the fault proxy, which distinguishes data centres by source address.

mod backend_spec;
mod local_mesh;
mod mesh_answers;
mod mesh_backend;
mod mesh_builder;
mod mesh_faults;
mod mesh_names;
mod mesh_network;
mod mesh_node;
mod mesh_wait;
mod stand_ins;
mod wait;

pub use backend_spec::BackendSpec;
pub use local_mesh::{CommandOutput, LocalMesh};
pub use mesh_answers::{MeshAnswers, RouteAnswers};
pub use mesh_backend::MeshBackend;
pub use mesh_builder::MeshBuilder;
pub use mesh_names::{data_centre_name, node_name};
pub use mesh_node::{MeshNode, NodeAddresses};
pub use stand_ins::{PlatformStandIn, ProxyStandIn};
pub use wait::wait_until;
