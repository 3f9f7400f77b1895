use crate::{
    ids::{AccountName, NodeName},
    member::{MemberRow, MemberState, MemberTable},
};

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Number of groups of accounts; the accounts of a group have the same owner.
///
/// It bounds the owners to which a node keeps a connection: with an owner for each of 78 accounts, the
/// connections took 4 MB of a node's memory. More groups spread the owners' load over more nodes.
const OWNER_GROUPS: u64 = 8;

/// Returns the owner of an account: the first serving member by rendezvous hashing of the account's
/// group, without those that `is_skipped` excludes.
///
/// Nodes with the same view of the members choose the same owner without coordination, and a change
/// of the membership moves only the accounts of the members that changed.
#[must_use]
pub fn choose_owner<'a>(
    table: &'a MemberTable,
    account: &AccountName,
    is_skipped: impl Fn(&MemberRow) -> bool,
) -> Option<&'a NodeName> {
    let group = mix(add_bytes(FNV_BASIS, account.as_str().as_bytes())) % OWNER_GROUPS;
    let basis = add_bytes(FNV_BASIS, &group.to_le_bytes());
    table
        .iter()
        .filter(|row| row.state == MemberState::Serving && !is_skipped(row))
        .max_by_key(|row| (weight(basis, &row.node), &row.node))
        .map(|row| &row.node)
}

/// Returns a node's weight. A hash of some nanoseconds, because a request that needs a token weighs
/// every member.
fn weight(basis: u64, node: &NodeName) -> u64 {
    mix(add_bytes(basis, node.as_str().as_bytes()))
}

fn add_bytes(hash: u64, bytes: &[u8]) -> u64 {
    let bytes = bytes.iter();
    bytes.fold(hash, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Finalizer of SplitMix64, since names that differ in their last character get similar FNV hashes.
const fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
