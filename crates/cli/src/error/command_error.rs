use std::io;

use bronzelb_kernel::error::{ErrorKind, MeshError};
use bronzelb_yaml::problem::FileError;
use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CommandError {
    /// A file has mistakes.
    #[snafu(display("{source}"), context(false))]
    File {
        /// The mistakes.
        source: FileError,
    },
    /// The mesh or the platform answered with an error.
    #[snafu(display("{}", source.message()), context(false))]
    Mesh {
        /// The error.
        source: MeshError,
    },
    /// A stream or file of this machine failed.
    #[snafu(display("{action}: {source}"))]
    LocalIo {
        /// What was attempted.
        action: &'static str,
        /// The error.
        source: io::Error,
    },
}

impl CommandError {
    /// Returns the kind of error.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::File { source } => source.kind(),
            Self::Mesh { source } => source.kind(),
            Self::LocalIo { .. } => ErrorKind::LocalIo,
        }
    }

    /// Returns the exit code that the kernel's table gives for the kind.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        self.kind().response().exit_code
    }
}
