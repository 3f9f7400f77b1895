//! HTTP/1.1 client for platforms.

mod http_exchange;
mod http_platform;
mod path_encoding;
mod wall_clock;

pub use http_exchange::{HttpAnswer, HttpCall, HttpExchange, decode_answer};
pub use path_encoding::encode_segment;
pub use wall_clock::wall_clock;
