use std::collections::BTreeMap;

use crate::{
    config::ConfigSnapshot,
    ids::{AccountName, KeyDigest},
};

/// Index of a configuration's client accounts by the digests of their keys.
///
/// Every request looks up its key; without the index that would compare it with all keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AccountIndex {
    names: BTreeMap<KeyDigest, AccountName>,
}

impl AccountIndex {
    /// Indexes the accounts of a snapshot.
    #[must_use]
    pub fn new(snapshot: &ConfigSnapshot) -> Self {
        let accounts = snapshot.accounts.iter();
        let names =
            accounts.flat_map(|(name, spec)| spec.keys.iter().map(|key| (*key, name.clone())));
        Self {
            names: names.collect(),
        }
    }

    /// Returns the account that the key belongs to.
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&AccountName> {
        self.names.get(key)
    }
}
