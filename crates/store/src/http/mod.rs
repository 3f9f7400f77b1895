//! HTTP/1.1 client for platforms.

mod http_client;
mod http_platform;
mod path_encoding;
mod wall_clock;

pub use http_client::{HttpClient, HttpRequest, HttpResponse, decode_json};
pub use path_encoding::percent_encode;
pub use wall_clock::wall_clock;
