use std::{
    fs::File,
    io::{self, Read},
    path::Path,
};

use bronzelb_kernel::error::ErrorKind;
use compact_str::format_compact;

use crate::{node::YamlNode, parser::parse_text, problem::ProblemList};

/// Maximum file size in bytes.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;

/// Reads and parses the file at `path`.
///
/// Returns `None` and records the reason if the file is unreadable, empty, too large, not UTF-8 or
/// not YAML. Reads at most one byte more than [`MAX_FILE_BYTES`].
pub fn read_file(path: impl AsRef<Path>, problems: &ProblemList) -> Option<YamlNode> {
    let bytes = match read_limited(path.as_ref()) {
        Ok(bytes) => bytes,
        Err(error) => {
            problems.push_file_problem(
                error_kind(&error),
                format_compact!("the file is unreadable: {error}"),
            );
            return None;
        }
    };
    if bytes.len() > MAX_FILE_BYTES {
        problems.push_file_problem(
            ErrorKind::TooLarge,
            format_compact!("the file is larger than {MAX_FILE_BYTES} bytes"),
        );
        return None;
    }
    match String::from_utf8(bytes) {
        Ok(text) => parse_text(&text, problems),
        Err(error) => {
            let offset = error.utf8_error().valid_up_to();
            let line = 1 + error.as_bytes()[..offset]
                .iter()
                .filter(|byte| **byte == b'\n')
                .count();
            problems.push_file_problem(
                ErrorKind::Invalid,
                format_compact!(
                    "byte {offset} in line {line} is not UTF-8; save the file as UTF-8 text"
                ),
            );
            None
        }
    }
}

fn read_limited(path: &Path) -> io::Result<Vec<u8>> {
    let limit = MAX_FILE_BYTES as u64 + 1;
    let mut bytes = Vec::new();
    File::open(path)?.take(limit).read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn error_kind(error: &io::Error) -> ErrorKind {
    match error.kind() {
        io::ErrorKind::NotFound => ErrorKind::NotFound,
        _ => ErrorKind::LocalIo,
    }
}
