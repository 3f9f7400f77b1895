//! The story of one request, from the logs of the nodes that it met.

mod explain_command;
mod request_story;

pub(crate) use explain_command::EXPLAIN_COMMAND;
