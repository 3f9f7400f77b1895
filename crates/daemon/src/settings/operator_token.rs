use std::{fmt, str::FromStr};

use bronzelb_kernel::error::MeshError;
use compact_str::{CompactString, format_compact};

const MIN_TOKEN_BYTES: usize = 16;

/// Secret required in operators' requests from other machines.
///
/// The secret itself is never logged or formatted.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorToken(CompactString);

impl OperatorToken {
    /// Returns whether the value of an `authorization` header holds this token.
    ///
    /// Hashes are compared in constant time, so that response times do not leak the token.
    #[must_use]
    pub fn matches_header(&self, authorization: &[u8]) -> bool {
        let expected = format_compact!("Bearer {}", self.0);
        blake3::hash(authorization) == blake3::hash(expected.as_bytes())
    }
}

impl fmt::Debug for OperatorToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorToken(..)")
    }
}

impl FromStr for OperatorToken {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() >= MIN_TOKEN_BYTES && text.chars().all(|c| c.is_ascii_graphic()) {
            return Ok(Self(CompactString::from(text)));
        }
        Err(MeshError::invalid(format!(
            "the token is not {MIN_TOKEN_BYTES} or more visible ASCII characters"
        )))
    }
}
