use bronzelb_kernel::{
    config::{ConfigSnapshot, HttpMethod, RouteRule},
    error::{ErrorKind, MeshError},
    ids::RouteName,
};

/// Finds the route with the longest path prefix that matches a request.
///
/// # Errors
///
/// [`ErrorKind::UnknownRoute`] when none matches.
pub(crate) fn match_route<'a>(
    snapshot: &'a ConfigSnapshot,
    method: HttpMethod,
    path: &str,
) -> Result<(&'a RouteName, &'a RouteRule), MeshError> {
    snapshot
        .routes
        .iter()
        .filter(|(_, rule)| rule.methods.is_empty() || rule.methods.contains(&method))
        .filter(|(_, rule)| has_prefix(path, &rule.path))
        .max_by_key(|(_, rule)| rule.path.len())
        .ok_or_else(|| {
            MeshError::new(
                ErrorKind::UnknownRoute,
                format!("no route matches {method} {path:?}"),
            )
        })
}

fn has_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
