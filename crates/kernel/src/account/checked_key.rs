use serde::{Deserialize, Serialize};

use crate::{
    config::ConfigVersion,
    error::{ErrorKind, MeshError},
    ids::{KeyDigest, RouteName, VersionNumber},
    request::AccountRank,
};

/// Key that a request presents and the configuration version that it was last checked against.
///
/// A node that holds an older version than `version` cannot tell a key that is unknown to it from
/// one that was added since, so it relies on the earlier check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckedKey {
    /// Digest of the key; `None` if the request has none.
    pub digest: Option<KeyDigest>,
    /// Version of the check.
    pub version: VersionNumber,
}

impl CheckedKey {
    /// Checks whether a request may use `route` under `config`, and returns the client account that
    /// its key belongs to.
    ///
    /// A request needs a key unless the configuration has no accounts or the route is public. A
    /// route that `config` does not contain counts as not public.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unauthorized`] if the request needs a key and `digest` is missing or belongs to
    /// no account. The message does not depend on the key.
    pub fn check(
        config: &ConfigVersion,
        route: &RouteName,
        digest: Option<KeyDigest>,
    ) -> Result<Option<AccountRank>, MeshError> {
        if config.snapshot().accounts.is_empty() {
            return Ok(None);
        }
        let found = digest.as_ref().and_then(|key| config.account(key));
        if let Some((account, spec)) = found {
            let (account, priority) = (account.clone(), spec.priority);
            return Ok(Some(AccountRank { account, priority }));
        }
        let rule = config.snapshot().routes.get(route);
        if rule.is_some_and(|rule| rule.traffic.is_public) {
            return Ok(None);
        }
        let message = match digest {
            Some(_) => "the key belongs to no client account",
            None => "the request has no key of a client account",
        };
        Err(MeshError::new(ErrorKind::Unauthorized, message))
    }

    /// Checks a request again under `config`, as after a wait, and returns its client account.
    ///
    /// Returns `account`, the result of the earlier check, unless `config` is newer.
    ///
    /// # Errors
    ///
    /// As [`CheckedKey::check`].
    pub fn recheck(
        &mut self,
        config: &ConfigVersion,
        route: &RouteName,
        account: Option<&AccountRank>,
    ) -> Result<Option<AccountRank>, MeshError> {
        let version = config.stamp().number;
        if version <= self.version {
            return Ok(account.cloned());
        }
        let account = Self::check(config, route, self.digest)?;
        self.version = version;
        Ok(account)
    }
}
