use snafu::Snafu;

/// Reason why a response is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum ResponseDefect {
    /// The status code is not one of a final response.
    #[snafu(display("the response has a status outside 200 to 599"))]
    UnknownStatus,
    /// A header name is followed by a space or tab.
    #[snafu(display("a header name of the response is followed by a space or tab"))]
    MalformedName,
    /// More than one header states the length of the body.
    #[snafu(display("the length of the response body is stated twice"))]
    AmbiguousLength,
    /// The content length is not a decimal number.
    #[snafu(display("the content length of the response is not a number"))]
    MalformedLength,
    /// The transfer encoding is not `chunked`, or the protocol version has none.
    #[snafu(display("the transfer encoding of the response is not supported"))]
    UnknownEncoding,
    /// Only the end of the connection would tell the end of the body.
    #[snafu(display("the response body has no length, so truncation would go undetected"))]
    UnknownLength,
    /// A body is announced by a response that has none.
    #[snafu(display("the response has a status without a body, but announces one"))]
    UnexpectedBody,
    /// The response agrees to a change of protocol that was not requested.
    #[snafu(display("the response changes the protocol"))]
    ProtocolChange,
}
