//! Reader for hand-written YAML files that reports the location of every problem.
//!
//! A file is parsed into a tree that keeps the line and column of each value. A [`MapReader`]
//! extracts typed fields from the tree and records every problem in a [`ProblemList`] instead of
//! stopping at the first one. File size, nesting depth and the number of values are limited, and
//! aliases are rejected, so that no file takes unbounded time or memory.
//!
//! [`MapReader`]: reader::MapReader
//! [`ProblemList`]: problem::ProblemList

pub mod node;
pub mod parser;
pub mod problem;
pub mod reader;
