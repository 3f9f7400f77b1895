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
const INTERNAL_PREFIX: &str = "x-bronzelb-";

/// Returns whether a lowercase header name is not forwarded to the next hop.
///
/// These are the hop-by-hop headers (RFC 9110, section 7.6.1), the headers that the node handles or
/// sets itself on each hop (`content-length`, `expect`, `host`), and the mesh's internal headers.
#[must_use]
pub fn is_hop_header(name: &str) -> bool {
    HOP_HEADERS.contains(&name) || name.starts_with(INTERNAL_PREFIX)
}
