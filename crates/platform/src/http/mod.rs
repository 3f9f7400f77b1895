//! The kind of platform that speaks HTTP/1.1.

mod http_platform;
mod path_encoding;
mod wall_clock;

pub use wall_clock::wall_clock;
