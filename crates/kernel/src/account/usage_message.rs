use serde::{Deserialize, Serialize};

use crate::{
    clock::TimeBudget,
    config::UsageCap,
    ids::{AccountName, IncarnationNumber, NodeName, VersionNumber},
};

/// What the called node does with a report for an account that it does not own itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayStage {
    /// Passes it to the owner by its own view of the members, or serves it if it can't reach that.
    Entry,
    /// Passes it to this node, which the entry node can't reach, or returns no grant.
    Through(NodeName),
    /// Serves it in place of the owner, which the entry node can't reach, unless it can itself.
    Replace,
    /// Serves it.
    Final,
}

/// Report of an entry node to the owner of some accounts, which grants tokens in reply.
///
/// A report without accounts only asks whether the node can be reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Entry node.
    pub from: NodeName,
    /// Incarnation of the entry node.
    pub incarnation: IncarnationNumber,
    /// Configuration version that contains the caps.
    pub version: VersionNumber,
    /// What the called node does if it does not own the accounts.
    pub stage: RelayStage,
    /// Accounts that the called node owns, as far as the entry node knows.
    pub usages: Vec<AccountUsage>,
}

/// What an entry node holds, has used and needs of one account.
///
/// Every field is a state and none a change, so that a lost message does no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Name of the account.
    pub account: AccountName,
    /// Cap of the account, so that an owner with an older configuration can serve it.
    pub cap: UsageCap,
    /// Number of this report; the owner ignores one that a later report has overtaken.
    pub number: u64,
    /// Requests admitted since the entry node started, less those that did not run.
    pub used: i64,
    /// Requests admitted in the last window.
    pub recent: u32,
    /// Unused tokens.
    pub held: u32,
    /// Requests that wait for a token.
    pub wanted: u32,
    /// Further requests expected while a lease lasts.
    pub expected: u32,
}

/// Reply to a [`UsageReport`]; lacks the accounts that the called node could not serve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReply {
    /// Grants, each for one account of the report.
    pub grants: Vec<AccountGrant>,
}

/// Tokens of one account for one entry node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountGrant {
    /// Name of the account.
    pub account: AccountName,
    /// Number of the report that this replies to.
    pub number: u64,
    /// Tokens granted, each for one request.
    pub tokens: u32,
    /// Time from the sending of the report after which every held token lapses.
    pub lease: TimeBudget,
    /// Time until there will be room for a request of this node; zero if all got a token.
    pub room_in: TimeBudget,
    /// Whether requests may wait for that room, since the owner has only just begun to count.
    pub may_wait: bool,
}
