use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::{
    config::{ConfigSnapshot, HttpMethod, RouteRule},
    ids::RouteName,
};

/// Index of a configuration's routes by host and path prefix.
///
/// A lookup takes one step per path segment, regardless of the number of routes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteIndex {
    hosts: BTreeMap<CompactString, BTreeMap<CompactString, Vec<RouteName>>>,
}

/// Key of the routes that match every host; a host name is never empty.
const ANY_HOST: &str = "";

impl RouteIndex {
    /// Indexes the routes of a snapshot.
    #[must_use]
    pub fn new(snapshot: &ConfigSnapshot) -> Self {
        let mut index = Self::default();
        for (name, rule) in &snapshot.routes {
            let host = rule.traffic.host.as_ref();
            let host = host.map_or(ANY_HOST.into(), |host| host.as_str().to_ascii_lowercase());
            let paths = index.hosts.entry(host.into()).or_default();
            let names = paths.entry(rule.path.clone()).or_default();
            names.push(name.clone());
        }
        index
    }

    /// Finds the route with the longest path prefix that matches a request.
    ///
    /// If a route for `host` and a route for every host match with the same prefix, the one whose
    /// name sorts last is returned. A port in `host` is ignored.
    #[must_use]
    pub fn find<'a>(
        &self,
        snapshot: &'a ConfigSnapshot,
        host: &str,
        method: HttpMethod,
        path: &str,
    ) -> Option<(&'a RouteName, &'a RouteRule)> {
        let host = host.split(':').next().unwrap_or("").to_ascii_lowercase();
        let named_host = Some(host.as_str()).filter(|host| *host != ANY_HOST);
        let host_paths = named_host.and_then(|host| self.hosts.get(host));
        let path_maps = [host_paths, self.hosts.get(ANY_HOST)];
        prefixes(path).find_map(|prefix| {
            let names = path_maps
                .iter()
                .flatten()
                .filter_map(|paths| paths.get(prefix));
            let rules = names
                .flatten()
                .filter_map(|name| snapshot.routes.get_key_value(name));
            rules
                .filter(|(_, rule)| rule.methods.is_empty() || rule.methods.contains(&method))
                .max_by_key(|(name, _)| *name)
        })
    }
}

/// Returns the prefixes of a path that end at a segment boundary, with and without the trailing
/// slash, longest first.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let whole = (!path.ends_with('/')).then_some(path);
    let shorter = path
        .rmatch_indices('/')
        .flat_map(move |(position, _)| [&path[..=position], &path[..position]]);
    whole
        .into_iter()
        .chain(shorter)
        .filter(|prefix| !prefix.is_empty())
}
