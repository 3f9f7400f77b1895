use std::ops::Range;

use actix_http::{
    Method, StatusCode, Version,
    header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING},
};

use crate::ResponseDefect;

/// Status codes of final responses (RFC 9110, section 15).
const FINAL_STATUSES: Range<u16> = 200..600;

/// How the end of a response body is known (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has this length, in bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

impl BodyFraming {
    /// Determines the framing of the final response to a request with `method`.
    ///
    /// # Errors
    ///
    /// The status is not one of a final response, or the head contradicts itself or has a transfer
    /// encoding other than `chunked`.
    pub fn of_response(
        method: &Method,
        status: StatusCode,
        version: Version,
        headers: &HeaderMap,
    ) -> Result<Self, ResponseDefect> {
        if !FINAL_STATUSES.contains(&status.as_u16()) {
            return Err(ResponseDefect::UnknownStatus);
        }
        let length = content_length(headers)?;
        let is_chunked = is_chunked(version, headers)?;
        if is_chunked && length.is_some() {
            return Err(ResponseDefect::AmbiguousLength);
        }
        // These responses state the length that the body of a GET response would have.
        if *method == Method::HEAD || status == StatusCode::NOT_MODIFIED {
            return Ok(Self::Empty);
        }
        let framing = match length {
            Some(0) => Self::Empty,
            Some(length) => Self::Length(length),
            None if is_chunked => Self::Chunked,
            None if status == StatusCode::NO_CONTENT => Self::Empty,
            None => Self::UntilClose,
        };
        if status == StatusCode::NO_CONTENT && framing != Self::Empty {
            return Err(ResponseDefect::UnexpectedBody);
        }
        Ok(framing)
    }
}

fn content_length(headers: &HeaderMap) -> Result<Option<u64>, ResponseDefect> {
    let mut values = headers.get_all(CONTENT_LENGTH);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(ResponseDefect::AmbiguousLength);
    }
    let text = value.to_str().ok();
    let digits = text.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    let length = digits.and_then(|text| text.parse().ok());
    length.map(Some).ok_or(ResponseDefect::MalformedLength)
}

fn is_chunked(version: Version, headers: &HeaderMap) -> Result<bool, ResponseDefect> {
    let mut values = headers.get_all(TRANSFER_ENCODING);
    let Some(value) = values.next() else {
        return Ok(false);
    };
    let is_supported = version == Version::HTTP_11
        && value.as_bytes().eq_ignore_ascii_case(b"chunked")
        && values.next().is_none();
    match is_supported {
        true => Ok(true),
        false => Err(ResponseDefect::UnknownEncoding),
    }
}
