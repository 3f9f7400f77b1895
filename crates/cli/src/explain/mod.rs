//! Timeline of one request, from the logs of the nodes that handled it.

mod explain_command;
mod request_timeline;

pub(crate) use explain_command::EXPLAIN_COMMAND;
