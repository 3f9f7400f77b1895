use std::{fs, path::Path};

use bronzelb_kernel::error::{ErrorKind, MeshError};

use crate::settings::NodeSettings;

/// Reads and checks a settings file.
///
/// # Errors
///
/// [`ErrorKind::LocalIo`] when the file is unreadable, [`ErrorKind::Invalid`] when it is not
/// valid settings; the message names the file, the line, and what is wrong.
pub fn read_settings(path: &Path) -> Result<NodeSettings, MeshError> {
    let text = fs::read_to_string(path).map_err(|error| {
        MeshError::new(ErrorKind::LocalIo, format!("{}: {error}", path.display()))
    })?;
    serde_saphyr::from_str(&text)
        .map_err(|error| MeshError::invalid(format!("{}: {error}", path.display())))
}
