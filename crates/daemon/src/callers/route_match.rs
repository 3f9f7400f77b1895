use bronzelb_kernel::{
    config::{ConfigSnapshot, HttpMethod, RouteRule},
    error::{ErrorKind, MeshError},
    ids::RouteName,
};

/// Finds the route with the longest path prefix that matches a request.
///
/// `host` may carry a port, which counts for nothing.
///
/// # Errors
///
/// [`ErrorKind::UnknownRoute`] when none matches.
pub(crate) fn match_route<'a>(
    snapshot: &'a ConfigSnapshot,
    host: &str,
    method: HttpMethod,
    path: &str,
) -> Result<(&'a RouteName, &'a RouteRule), MeshError> {
    let host = host.split(':').next().unwrap_or("");
    snapshot
        .routes
        .iter()
        .filter(|(_, rule)| rule.methods.is_empty() || rule.methods.contains(&method))
        .filter(|(_, rule)| has_host(rule, host))
        .filter(|(_, rule)| has_prefix(path, &rule.path))
        .max_by_key(|(_, rule)| rule.path.len())
        .ok_or_else(|| {
            MeshError::new(
                ErrorKind::UnknownRoute,
                format!("no route matches {method} {path:?}"),
            )
        })
}

fn has_host(rule: &RouteRule, host: &str) -> bool {
    let wanted = rule.traffic.host.as_ref();
    wanted.is_none_or(|wanted| wanted.as_str().eq_ignore_ascii_case(host))
}

fn has_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
