//! Client accounts: whose key a request presents, and whether it may run.
//!
//! Accounts are part of a configuration version and come into force with it.

mod account_index;
mod checked_key;

pub use account_index::AccountIndex;
pub use checked_key::CheckedKey;
