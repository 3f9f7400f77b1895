use std::{env, path::PathBuf};

use bronzelb_kernel::error::{ErrorKind, MeshError};

use crate::server::local_error;

/// Finds a program of the workspace beside the running one, or one folder up for a test.
///
/// # Errors
///
/// `NotFound` tells how to build it.
pub fn program_path(name: &str) -> Result<PathBuf, MeshError> {
    let running = env::current_exe().map_err(|error| local_error("running program", &error))?;
    running
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(name))
        .find(|path| path.is_file())
        .ok_or_else(|| {
            MeshError::new(
                ErrorKind::NotFound,
                format!("program {name:?} is not built; run \"cargo build --workspace\""),
            )
        })
}
