//! The daemon's settings.

mod node_settings;
mod operator_token;
mod read_settings;
mod section_reader;
mod settings_check;

pub use node_settings::{
    CallerSettings, LimitSettings, LocalSettings, NodeSettings, OperatorSettings, PeerSettings,
    PlatformSettings, SpreadSettings,
};
pub use operator_token::OperatorToken;
pub use read_settings::{parse_settings, read_settings};
