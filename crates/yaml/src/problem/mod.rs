//! Problems found in a file.

mod file_error;
mod file_problem;
mod problem_list;

pub use file_error::FileError;
pub use file_problem::FileProblem;
pub use problem_list::ProblemList;
