use std::{env, path::PathBuf};

use bronzelb_kernel::error::{ErrorKind, MeshError};

use crate::server::local_error;

/// Finds a program of the workspace in the directory of the running executable, or in its parent
/// directory, where Cargo puts programs relative to test executables.
///
/// # Errors
///
/// `NotFound` when the program has not been built; the message names the build command.
pub fn program_path(name: &str) -> Result<PathBuf, MeshError> {
    let running = env::current_exe().map_err(|error| local_error("running program", &error))?;
    running
        .ancestors()
        .skip(1)
        .take(2)
        .map(|directory| directory.join(name))
        .find(|path| path.is_file())
        .ok_or_else(|| {
            MeshError::new(
                ErrorKind::NotFound,
                format!("program {name:?} is not built; run \"cargo build --workspace\""),
            )
        })
}
