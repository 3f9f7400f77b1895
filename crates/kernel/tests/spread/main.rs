//! Spreading of versions, members and records, and publishing.

mod fixture;
mod member;
mod publish;
mod version;
