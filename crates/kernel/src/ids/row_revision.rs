use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::{error::MeshError, ids::StoreEra};

/// Bits of the packed form that hold the number; the era is in the bits above.
const NUMBER_BITS: u32 = 48;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;

/// Revision of a row of the platform's table service.
///
/// Within an era it increases with every write. When the platform returns from an older copy, it
/// begins another era and assigns the same numbers again, so a revision of a later era is later
/// whatever its number.
///
/// The text form is the number, after the era and a dot unless the era is the first one, `2.17`.
/// Binary formats pack both into one integer, which has the order of the revisions and which builds
/// without eras read as a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowRevision {
    era: StoreEra,
    number: u64,
}

impl RowRevision {
    /// Creates a revision of the first era, the only one of platforms without eras.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self {
            era: StoreEra::new(0),
            number,
        }
    }

    /// Creates a revision of `era`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`](crate::error::ErrorKind::Invalid) for an era above 65,535 or a number
    /// of more than 48 bits.
    pub fn in_era(era: StoreEra, number: u64) -> Result<Self, MeshError> {
        if era.get() <= MAX_ERA && number <= MAX_NUMBER {
            return Ok(Self { era, number });
        }
        Err(MeshError::invalid(format!(
            "row revision {number} of era {era} is too large"
        )))
    }

    /// Returns the era.
    #[must_use]
    pub const fn era(self) -> StoreEra {
        self.era
    }

    /// Returns the number within the era.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.number
    }

    /// Returns the next revision of the same era, saturating at the largest.
    #[must_use]
    pub const fn next(self) -> Self {
        let number = match self.number < MAX_NUMBER {
            true => self.number + 1,
            false => MAX_NUMBER,
        };
        Self {
            era: self.era,
            number,
        }
    }

    const fn to_packed(self) -> u64 {
        (self.era.get() << NUMBER_BITS) | self.number
    }

    const fn from_packed(packed: u64) -> Self {
        Self {
            era: StoreEra::new(packed >> NUMBER_BITS),
            number: packed & MAX_NUMBER,
        }
    }
}

impl fmt::Display for RowRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era == StoreEra::default() {
            true => write!(f, "{}", self.number),
            false => write!(f, "{}.{}", self.era, self.number),
        }
    }
}

impl FromStr for RowRevision {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, number) = text.split_once('.').unwrap_or(("0", text));
        let number = number.parse().map_err(|_| {
            MeshError::invalid(format!(
                "row revision {text:?} is not a whole number, or two with a dot between"
            ))
        })?;
        Self::in_era(era.parse()?, number)
    }
}

impl Serialize for RowRevision {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if !serializer.is_human_readable() {
            return serializer.serialize_u64(self.to_packed());
        }
        match self.era == StoreEra::default() {
            true => serializer.serialize_u64(self.number),
            false => serializer.collect_str(self),
        }
    }
}

impl<'de> Deserialize<'de> for RowRevision {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return u64::deserialize(deserializer).map(Self::from_packed);
        }
        deserializer.deserialize_any(TextVisitor)
    }
}

struct TextVisitor;

impl de::Visitor<'_> for TextVisitor {
    type Value = RowRevision;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a row revision such as 17 or \"2.17\"")
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<RowRevision, E> {
        RowRevision::in_era(StoreEra::default(), number).map_err(E::custom)
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<RowRevision, E> {
        text.parse().map_err(E::custom)
    }
}
