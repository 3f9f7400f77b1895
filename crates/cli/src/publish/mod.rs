//! Publication of a configuration as the mesh's newest version.

mod publish_command;
mod version_publisher;
mod version_wait;

pub(crate) use publish_command::PUBLISH_COMMAND;
