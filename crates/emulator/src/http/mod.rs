//! HTTP clients of the stand-ins' control listeners and of a mesh's nodes.

mod caller_client;
mod json_client;

pub use caller_client::{CallRequest, CallResponse, CallerClient};
pub use json_client::JsonClient;
