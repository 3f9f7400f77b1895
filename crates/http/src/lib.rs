//! Checks of HTTP responses.
//!
//! The client codec accepts heads that are ambiguous or malformed. The checks here refuse what two
//! readers could understand differently, so that a part of a body is never taken for the whole.
//!
//! - [`BodyFraming`]: how the end of a body is known
//! - [`check_header_names`]: names that the codec would repair
//! - [`strict_connector`] and [`read_body`]: complete responses for users of `awc`

mod body_framing;
mod header_names;
mod read_body;
mod response_defect;
mod strict_stream;

pub use body_framing::BodyFraming;
pub use header_names::check_header_names;
pub use read_body::{BodyError, read_body};
pub use response_defect::ResponseDefect;
pub use strict_stream::{StrictStream, strict_connector};
