use std::fmt::Write;

/// Percent-encodes all but unreserved characters, so that the result is a single path segment or
/// query value.
#[must_use]
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len() + text.len() / 2);
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~') {
            encoded.push(char::from(byte));
        } else {
            write!(encoded, "%{byte:02X}").expect("writing to a string succeeds");
        }
    }
    encoded
}
