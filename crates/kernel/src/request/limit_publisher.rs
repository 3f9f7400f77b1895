use crate::{
    clock::{ClockInstant, TimeBudget},
    member::StatedLimit,
};

/// Minimum interval between two publications, so that a server whose limit fluctuates does not
/// flood the mesh.
const MIN_PUBLISH_INTERVAL: TimeBudget = TimeBudget::from_secs(3);
/// Ratio between the published and the stated limit, in either direction, up to which the stated
/// limit is not published.
const MAX_UNPUBLISHED_RATIO: f64 = 1.25;

/// Determines which limit of a backend server is published to the other nodes.
///
/// The node beside the server holds the exact limit. The others need it only to choose a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitPublisher {
    published: StatedLimit,
    /// Instant before which no further change is published.
    next_publication: ClockInstant,
}

impl LimitPublisher {
    /// Updates the published limit from `stated` and returns whether it has changed.
    pub fn update(&mut self, now: ClockInstant, stated: StatedLimit) -> bool {
        if !self.next_publication.has_passed(now) || !self.is_significant(stated) {
            return false;
        }
        self.published = stated;
        self.next_publication = now.after(MIN_PUBLISH_INTERVAL);
        true
    }

    /// Returns the published limit.
    #[must_use]
    pub const fn published(&self) -> StatedLimit {
        self.published
    }

    fn is_significant(&self, stated: StatedLimit) -> bool {
        let (Some(published), Some(stated)) = (self.published.rate(), stated.rate()) else {
            return self.published.rate() != stated.rate();
        };
        let (published, stated) = (published.per_second(), stated.per_second());
        published.max(stated) > published.min(stated) * MAX_UNPUBLISHED_RATIO
    }
}
