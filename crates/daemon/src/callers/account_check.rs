use actix_web::http::header::HeaderMap;
use bronzelb_kernel::{
    account::CheckedKey,
    config::ConfigVersion,
    error::MeshError,
    ids::{KeyDigest, RouteName},
    plugin::{AccountKeyHeader, CallerDialect},
    request::AccountRank,
};

/// Client account of a request, and the check that found it.
pub(crate) struct AccountCheck {
    /// `None` if the request needs no key and has none that is known.
    pub(crate) account: Option<AccountRank>,
    pub(crate) key_check: CheckedKey,
}

impl AccountCheck {
    /// Checks the key in a request's headers under the version that the request's route comes from.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unauthorized`](bronzelb_kernel::error::ErrorKind::Unauthorized) if the request
    /// needs a key and presents none that is known.
    pub(crate) fn new(
        dialect: &CallerDialect,
        headers: &HeaderMap,
        config: &ConfigVersion,
        route: &RouteName,
    ) -> Result<Self, MeshError> {
        let header = dialect.account_key.as_ref();
        let digest = header.and_then(|header| read_key(header, headers));
        let account = CheckedKey::check(config, route, digest)?;
        let version = config.stamp().number;
        Ok(Self {
            account,
            key_check: CheckedKey { digest, version },
        })
    }
}

/// Returns the digest of the key that a request presents.
///
/// A request with several such headers presents none: nodes and servers might pick different ones.
fn read_key(header: &AccountKeyHeader, headers: &HeaderMap) -> Option<KeyDigest> {
    let mut values = headers.get_all(header.name);
    let value = values.next().filter(|_| values.next().is_none())?;
    let (scheme, key) = value.as_bytes().split_at_checked(header.scheme.len())?;
    let is_spaced = key.starts_with(b" ");
    let key = key.trim_ascii();
    let is_key = is_spaced && !key.is_empty();
    (is_key && scheme.eq_ignore_ascii_case(header.scheme.as_bytes())).then(|| KeyDigest::of(key))
}
