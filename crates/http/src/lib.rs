//! Checks of HTTP responses.
//!
//! The client codec accepts heads that are ambiguous or malformed. The checks here refuse what two
//! readers could understand differently, so that a part of a body is never taken for the whole.
//!
//! - [`BodyFraming`]: how the end of a body is known
//! - [`check_header_names`]: names that the codec would repair

mod body_framing;
mod header_names;
mod response_defect;

pub use body_framing::BodyFraming;
pub use header_names::check_header_names;
pub use response_defect::ResponseDefect;
