use awc::{ClientResponse, error::PayloadError, http::Method};
use bytes::Bytes;
use futures::Stream;
use snafu::Snafu;

use crate::{BodyFraming, ResponseDefect};

/// Reason why a body could not be read.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum BodyError {
    /// The head of the response is not accepted.
    #[snafu(display("{source}"), context(false))]
    Refused {
        /// What is wrong with the head.
        source: ResponseDefect,
    },
    /// The body exceeds the limit.
    #[snafu(display("the response body exceeds {max_bytes} bytes"))]
    TooLarge {
        /// Limit in bytes.
        max_bytes: usize,
    },
    /// The body is malformed, or the connection was closed before its end.
    #[snafu(display("the response body is incomplete: {source}"))]
    Incomplete {
        /// Error of the codec or of the connection.
        source: PayloadError,
    },
    /// The codec ended the body before its stated length.
    #[snafu(display("the response body is shorter than its stated length"))]
    TooShort,
}

/// Reads the complete body of the response to a request with `method`.
///
/// The connection has to be one of [`strict_connector`](crate::strict_connector).
///
/// # Errors
///
/// The response is malformed, its end is not known without the connection closing, the connection
/// was closed before it, or the body exceeds `max_bytes`.
pub async fn read_body(
    method: &Method,
    response: &mut ClientResponse<impl Stream<Item = Result<Bytes, PayloadError>> + Unpin>,
    max_bytes: usize,
) -> Result<Bytes, BodyError> {
    let (status, version) = (response.status(), response.version());
    let framing = BodyFraming::of_response(method, status, version, response.headers())?;
    let length = match framing {
        BodyFraming::Empty => return Ok(Bytes::new()),
        BodyFraming::UntilClose => return Err(ResponseDefect::UnknownLength.into()),
        BodyFraming::Length(length) => Some(length),
        BodyFraming::Chunked => None,
    };
    let body = response.body().limit(max_bytes).await;
    let body = body.map_err(|source| match source {
        PayloadError::Overflow => BodyError::TooLarge { max_bytes },
        source => BodyError::Incomplete { source },
    })?;
    match length.is_none_or(|length| length == body.len() as u64) {
        true => Ok(body),
        false => Err(BodyError::TooShort),
    }
}
