//! Tests for gossip of versions, members and records, and for publishing.

mod departures;
mod fixture;
mod member;
mod orders;
mod publish;
mod restore;
mod returning;
mod size;
mod version;
