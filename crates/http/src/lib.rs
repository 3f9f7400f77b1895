//! Checks of HTTP responses.
//!
//! The client codec accepts heads that are ambiguous or malformed. The checks here refuse what two
//! readers could understand differently, so that a part of a body is never taken for the whole.
//!
//! - [`BodyFraming`]: how the end of a body is known

mod body_framing;
mod response_defect;

pub use body_framing::BodyFraming;
pub use response_defect::ResponseDefect;
