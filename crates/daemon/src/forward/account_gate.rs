use bronzelb_kernel::{
    account::CheckedKey, config::ConfigVersion, error::MeshError, plugin::WireDialect,
    request::AccountRank,
};
use bronzelb_wire::peer::ForwardRequest;

use crate::node::NodeState;

/// Checks the key of a request that has waited under the version in force, and returns the check
/// and the request's client account under that version.
///
/// Without this check, a request with a revoked key would still run after a wait in a queue.
///
/// # Errors
///
/// [`ErrorKind::Unauthorized`](bronzelb_kernel::error::ErrorKind::Unauthorized) if the key has been
/// revoked since the last check.
pub(crate) fn recheck_account(
    state: &NodeState,
    message: &ForwardRequest,
) -> Result<(CheckedKey, Option<AccountRank>), MeshError> {
    let mut key_check = message.key_check;
    let account = message.account.as_ref();
    let account = match state.config() {
        Some(config) => key_check.recheck(&config, &message.route, account)?,
        None => account.cloned(),
    };
    Ok((key_check, account))
}

/// Returns the names of the headers that a backend server gets only from the mesh: the key, which it
/// never gets, and the account.
///
/// Without accounts both belong to callers and servers, and are forwarded like any other header.
pub(crate) fn account_headers(
    dialect: &WireDialect,
    config: &ConfigVersion,
) -> [Option<&'static str>; 2] {
    if config.snapshot().accounts.is_empty() {
        return [None, None];
    }
    let key_header = dialect.callers.account_key.as_ref();
    [
        key_header.map(|header| header.name),
        dialect.servers.account_header,
    ]
}

/// Returns the name of a client account for a log line.
pub(crate) fn account_name(account: Option<&AccountRank>) -> Option<String> {
    account.map(|rank| rank.account.to_string())
}
