use crate::ResponseDefect;

/// Refuses a response head in which a header name is followed by a space or tab.
///
/// The codec removes these from a response, so two readers may disagree on whether the header is
/// there (RFC 9112, section 5.1). `received` starts with the head, of which parts may be missing; what
/// follows the head is not looked at.
///
/// # Errors
///
/// [`ResponseDefect::MalformedName`].
pub fn check_header_names(received: &[u8]) -> Result<(), ResponseDefect> {
    let lines = received.split(|byte| *byte == b'\n');
    let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    // Empty lines may precede the status line.
    let mut headers = lines
        .skip_while(|line| line.is_empty())
        .skip(1)
        .take_while(|line| !line.is_empty());
    match headers.any(has_padded_name) {
        true => Err(ResponseDefect::MalformedName),
        false => Ok(()),
    }
}

fn has_padded_name(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next();
    name.is_some_and(|name| name.ends_with(b" ") || name.ends_with(b"\t"))
}
