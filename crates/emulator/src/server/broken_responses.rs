/// Returns responses that show `part` but are malformed, or not known to be complete when the
/// connection closes after them.
#[must_use]
pub fn broken_responses(part: &str) -> Vec<String> {
    let size = part.len();
    let longer = size + 1;
    let chunk = format!("{size:x}\r\n{part}\r\n");
    let chunked = format!("{chunk}0\r\n\r\n");
    let framed = format!("content-length: {size}\r\n\r\n{part}");
    vec![
        // Cut off, as far as the head tells.
        format!("HTTP/1.1 200 OK\r\ncontent-length: {longer}\r\n\r\n{part}"),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunk}"),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunk}4\r\nab"),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunk}0\r\n"),
        // Without a length that all readers agree on.
        format!("HTTP/1.1 200 OK\r\n\r\n{part}"),
        format!("HTTP/1.0 200 OK\r\n\r\n{part}"),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\n{part}"),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n{framed}"),
        format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {size}\r\ntransfer-encoding: chunked\r\n\r\n{chunked}"
        ),
        format!("HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n{framed}"),
        format!("HTTP/1.1 200 OK\r\nupgrade: websocket\r\n{framed}"),
        // With a status that no final response has.
        format!("HTTP/1.1 000 OK\r\n{framed}"),
        format!("HTTP/1.1 600 OK\r\n{framed}"),
        format!("HTTP/1.1 100 Continue\r\n{framed}"),
        format!("HTTP/1.1 101 Switching Protocols\r\n\r\n{part}"),
    ]
}
