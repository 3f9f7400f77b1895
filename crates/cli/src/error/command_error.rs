use std::io;

use bronzelb_kernel::error::{ErrorKind, MeshError};
use bronzelb_yaml::problem::FileError;
use snafu::Snafu;

/// Error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CommandError {
    /// A file is invalid.
    #[snafu(display("{source}"), context(false))]
    File {
        /// The problems in the file.
        source: FileError,
    },
    /// The mesh or the platform returned an error.
    #[snafu(display("{}", source.message()), context(false))]
    Mesh {
        /// The error.
        source: MeshError,
    },
    /// An operation on a local stream or file failed.
    #[snafu(display("{action}: {source}"))]
    LocalIo {
        /// The operation that failed.
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

    /// Returns the exit code that the kernel assigns to the kind of error.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        self.kind().response().exit_code
    }
}
