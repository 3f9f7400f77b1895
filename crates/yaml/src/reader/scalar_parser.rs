use std::str::FromStr;

use bronzelb_kernel::{error::MeshError, ids::ByteCount};

const BYTES_PER_KIB: u64 = 1024;
const BYTES_PER_MB: u64 = 1_000_000;
const BYTES_PER_MIB: u64 = 1024 * BYTES_PER_KIB;

/// Parses a value with the `FromStr` implementation of its type.
///
/// # Errors
///
/// Any error of that implementation.
pub fn parse_from_str<T: FromStr<Err = MeshError>>(text: &str) -> Result<T, MeshError> {
    text.parse()
}

/// Parses a `u32`.
///
/// # Errors
///
/// [`ErrorKind::Invalid`](bronzelb_kernel::error::ErrorKind::Invalid) for any other text.
pub fn parse_u32(text: &str) -> Result<u32, MeshError> {
    text.parse().map_err(|_| {
        MeshError::invalid(format!(
            "{text:?} is not a whole number between 0 and {}",
            u32::MAX
        ))
    })
}

/// Parses `true` or `false`.
///
/// # Errors
///
/// [`ErrorKind::Invalid`](bronzelb_kernel::error::ErrorKind::Invalid) for any other text.
pub fn parse_bool(text: &str) -> Result<bool, MeshError> {
    match text {
        "true" => Ok(true),
        "false" => Ok(false),
        _ => Err(MeshError::invalid(format!(
            "{text:?} is neither true nor false"
        ))),
    }
}

/// Parses a size with the unit B, KiB, MB or MiB.
///
/// # Errors
///
/// [`ErrorKind::Invalid`](bronzelb_kernel::error::ErrorKind::Invalid) for any other text.
pub fn parse_byte_count(text: &str) -> Result<ByteCount, MeshError> {
    let split = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (digits, suffix) = text.split_at(split);
    let unit = match suffix {
        "B" => Some(1),
        "KiB" => Some(BYTES_PER_KIB),
        "MB" => Some(BYTES_PER_MB),
        "MiB" => Some(BYTES_PER_MIB),
        _ => None,
    };
    let count: Option<u64> = digits.parse().ok();
    unit.zip(count)
        .and_then(|(unit, count)| count.checked_mul(unit))
        .map(ByteCount::new)
        .ok_or_else(|| {
            MeshError::invalid(format!(
                "size {text:?} is not a number with one of the units B, KiB, MB or MiB, such as \
                 \"64KiB\""
            ))
        })
}
