const HOP_HEADERS: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
const OWN_PREFIX: &str = "x-bronzelb-";

/// Returns whether a header, in lower case, belongs to one connection or to the mesh itself.
///
/// Such headers are not passed on (RFC 9110, section 7.6.1).
#[must_use]
pub fn is_hop_header(name: &str) -> bool {
    HOP_HEADERS.contains(&name) || name.starts_with(OWN_PREFIX)
}
