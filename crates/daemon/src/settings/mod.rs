//! The daemon's settings.

mod node_settings;
mod read_settings;

pub use node_settings::{
    CallerSettings, NodeSettings, OperatorSettings, PeerSettings, PlatformSettings, SpreadSettings,
};
pub use read_settings::read_settings;
