//! YAML files that people write, read with the place of every mistake.
//!
//! A file is parsed into a tree that keeps line and column of each value. A [`MapReader`] takes
//! typed fields out of the tree and notes every mistake in a [`ProblemList`] instead of stopping
//! at the first one. Sizes, depth and the number of values are bounded, and aliases are refused,
//! so that no file takes unbounded time or memory.
//!
//! [`MapReader`]: reader::MapReader
//! [`ProblemList`]: problem::ProblemList

pub mod node;
pub mod parser;
pub mod problem;
pub mod reader;
