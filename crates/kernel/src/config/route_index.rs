use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::{
    config::{ConfigSnapshot, HttpMethod, RouteRule},
    ids::RouteName,
};

/// Routes of a configuration by host and path prefix.
///
/// A look-up takes a step for each segment of the path, however many routes there are.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteIndex {
    hosts: BTreeMap<CompactString, BTreeMap<CompactString, Vec<RouteName>>>,
}

/// Key of the routes that match every host; no host has an empty name.
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
    /// `host` may carry a port, which counts for nothing.
    #[must_use]
    pub fn find<'a>(
        &self,
        snapshot: &'a ConfigSnapshot,
        host: &str,
        method: HttpMethod,
        path: &str,
    ) -> Option<(&'a RouteName, &'a RouteRule)> {
        let host = host.split(':').next().unwrap_or("").to_ascii_lowercase();
        let own = Some(host.as_str()).filter(|host| *host != ANY_HOST);
        let own = own.and_then(|host| self.hosts.get(host));
        let tables = [own, self.hosts.get(ANY_HOST)];
        prefixes(path).find_map(|prefix| {
            let found = tables
                .iter()
                .flatten()
                .filter_map(|paths| paths.get(prefix));
            let rules = found
                .flatten()
                .filter_map(|name| snapshot.routes.get_key_value(name));
            rules
                .filter(|(_, rule)| rule.methods.is_empty() || rule.methods.contains(&method))
                .max_by_key(|(name, _)| *name)
        })
    }
}

/// Returns the prefixes of a path that end at a segment's end, with and without its slash, longest
/// first.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let whole = (!path.ends_with('/')).then_some(path);
    let inner = path
        .rmatch_indices('/')
        .flat_map(move |(place, _)| [&path[..=place], &path[..place]]);
    whole
        .into_iter()
        .chain(inner)
        .filter(|prefix| !prefix.is_empty())
}
