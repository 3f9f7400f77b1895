use crate::clock::TimeBudget;

/// Longest remaining cold time that is believed; a longer one is a mistake and would hold a server
/// back for good.
pub const MAX_COLD_TIME: TimeBudget = TimeBudget::from_secs(600);

/// Remaining cold time that a server states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedCold {
    /// Nothing is stated.
    #[default]
    Unknown,
    /// The server stays cold for this time; zero if it is warm.
    Left(TimeBudget),
    /// What is stated is negative, endless or unreadable; it changes nothing.
    Refused,
}

impl StatedCold {
    /// Decodes a header with whole milliseconds.
    #[must_use]
    pub fn from_header(value: Option<&[u8]>) -> Self {
        let Some(value) = value else {
            return Self::Unknown;
        };
        let millis = str::from_utf8(value).ok();
        let millis = millis.and_then(|text| text.trim().parse().ok());
        millis.map_or(Self::Refused, |millis| {
            Self::from_time(TimeBudget::from_millis(millis))
        })
    }

    /// Checks a remaining cold time.
    #[must_use]
    pub fn from_time(time: TimeBudget) -> Self {
        match time <= MAX_COLD_TIME {
            true => Self::Left(time),
            false => Self::Refused,
        }
    }
}
