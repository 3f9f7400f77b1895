use compact_str::{CompactString, format_compact};

use crate::{
    clock::ClockInstant,
    config::{ConfigSnapshot, ConfigVersion, VersionStamp},
    error::{ErrorKind, MeshError},
    ids::{AttemptToken, MeshName, RowRevision, VersionNumber},
    spread::{AcceptedAttempt, MAX_ACCEPTED_ATTEMPTS, VersionRow},
};

/// The row `MESH/version` with its revision, as read from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CurrentRow {
    /// Content of the row.
    pub row: VersionRow,
    /// Revision of the row in the table.
    pub revision: RowRevision,
}

/// Identity of one publish attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishAttempt {
    /// Random token, unique to the attempt.
    pub token: AttemptToken,
    /// Name of the publisher.
    pub publisher: CompactString,
    /// Start of the attempt, by the publisher's clock.
    pub started_at: ClockInstant,
}

/// Result of the platform's compare-and-set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Written,
    /// The row had another revision and nothing was written.
    Conflict,
    /// The response was lost; the write may have taken effect, or may still take effect later.
    Unknown,
}

/// Next step of a publisher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishStep {
    /// Send the same compare-and-set; the attempt token makes a retry safe.
    Write,
    /// Read the row `MESH/version` and pass it to [`PublishPlan::after_read`].
    ReadBack,
    /// Stop: the outcome is known.
    Finished(PublishOutcome),
}

/// Outcome of a publish attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The version was accepted.
    Accepted(VersionStamp),
    /// Another publisher's version took the number.
    Lost {
        /// Number that was taken.
        number: VersionNumber,
        /// Publisher that took it.
        publisher: CompactString,
    },
    /// So many versions followed that the row no longer records whether this one was accepted.
    Unknown,
}

/// Attempt to publish a snapshot as the mesh's newest version.
///
/// The publisher first stores the bytes of [`PublishPlan::version`] as the object that the row
/// names, then writes the row on condition of [`PublishPlan::expected_revision`]. It never reports
/// an outcome that the table does not confirm: after a lost response it reads the row back and
/// compares attempt tokens.
///
/// # Examples
///
/// ```
/// use bronzelb_kernel::{
///     clock::ClockInstant,
///     config::ConfigSnapshot,
///     ids::AttemptToken,
///     spread::{PublishAttempt, PublishOutcome, PublishPlan, PublishStep, WriteOutcome},
/// };
///
/// let snapshot: ConfigSnapshot = serde_json::from_str(
///     r#"{"mesh":"m","proxies":{"dc1":{"spill_order":[]}},"services":{},"routes":{}}"#,
/// )
/// .unwrap();
/// let attempt = PublishAttempt {
///     token: AttemptToken::new(7),
///     publisher: "anna".into(),
///     started_at: ClockInstant::from_millis(1),
/// };
/// let plan = PublishPlan::new(None, snapshot, attempt)?;
/// assert_eq!(plan.expected_revision(), None);
/// let step = plan.after_write(&WriteOutcome::Written);
/// let accepted = PublishOutcome::Accepted(plan.version().stamp());
/// assert_eq!(step, PublishStep::Finished(accepted));
/// # Ok::<(), bronzelb_kernel::error::MeshError>(())
/// ```
#[derive(Clone, Debug)]
pub struct PublishPlan {
    version: ConfigVersion,
    row: VersionRow,
    expected_revision: Option<RowRevision>,
}

impl PublishPlan {
    /// Plans to publish `snapshot` as the successor of `current`, the row as just read.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] when the snapshot fails a check, [`ErrorKind::TooLarge`] when it is
    /// oversized. Nothing has been written in either case.
    pub fn new(
        current: Option<&CurrentRow>,
        snapshot: ConfigSnapshot,
        attempt: PublishAttempt,
    ) -> Result<Self, MeshError> {
        let held = current.map(|current| &current.row);
        let number = held.map_or(VersionNumber::new(1), |row| row.number.next());
        let mesh = snapshot.mesh.clone();
        let version = ConfigVersion::from_snapshot(number, snapshot)?;
        let stamp = version.stamp();
        let row = VersionRow {
            number,
            hash: stamp.hash,
            object: object_name(&mesh, stamp),
            attempt: attempt.token,
            published_at: attempt.started_at,
            publisher: attempt.publisher,
            earlier: held.map(earlier_attempts).unwrap_or_default(),
        };
        Ok(Self {
            version,
            row,
            expected_revision: current.map(|current| current.revision),
        })
    }

    /// Returns the version, whose bytes must be stored under the row's object name before the row
    /// is written.
    #[must_use]
    pub const fn version(&self) -> &ConfigVersion {
        &self.version
    }

    /// Returns the row to write.
    #[must_use]
    pub const fn row(&self) -> &VersionRow {
        &self.row
    }

    /// Returns the revision that the row must have for the write to succeed; `None` if the row
    /// must not exist.
    #[must_use]
    pub const fn expected_revision(&self) -> Option<RowRevision> {
        self.expected_revision
    }

    /// Returns the next step after a write.
    #[must_use]
    pub fn after_write(&self, outcome: &WriteOutcome) -> PublishStep {
        match outcome {
            WriteOutcome::Written => self.accepted(),
            // The conflicting write may be this attempt's own, if an earlier response was lost.
            WriteOutcome::Conflict | WriteOutcome::Unknown => PublishStep::ReadBack,
        }
    }

    /// Returns the next step after a successful read of the row.
    #[must_use]
    pub fn after_read(&self, current: Option<&CurrentRow>) -> PublishStep {
        let revision = current.map(|current| current.revision);
        if revision == self.expected_revision {
            return PublishStep::Write;
        }
        let Some(current) = current else {
            return PublishStep::Finished(PublishOutcome::Unknown);
        };
        self.outcome_from_row(&current.row)
    }

    /// Converts an outcome into a result with the error message for the operator.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Conflict`] when another publisher won the race, [`ErrorKind::OutcomeUnknown`]
    /// when the table no longer records the outcome.
    pub fn report(&self, outcome: &PublishOutcome) -> Result<VersionStamp, MeshError> {
        let wanted = self.row.number;
        match outcome {
            PublishOutcome::Accepted(stamp) => Ok(*stamp),
            PublishOutcome::Lost { number, publisher } => Err(MeshError::new(
                ErrorKind::Conflict,
                format!("version {number} was published by {publisher} first"),
            )),
            PublishOutcome::Unknown => Err(MeshError::new(
                ErrorKind::OutcomeUnknown,
                format!("the version row no longer records whether version {wanted} was accepted"),
            )),
        }
    }

    fn accepted(&self) -> PublishStep {
        PublishStep::Finished(PublishOutcome::Accepted(self.version.stamp()))
    }

    fn outcome_from_row(&self, row: &VersionRow) -> PublishStep {
        let mut attempts = row.earlier.clone();
        attempts.push(row.accepted_attempt());
        let taken = attempts
            .iter()
            .find(|accepted| accepted.number == self.row.number);
        match taken {
            Some(accepted) if accepted.attempt == self.row.attempt => self.accepted(),
            Some(accepted) => PublishStep::Finished(PublishOutcome::Lost {
                number: accepted.number,
                publisher: accepted.publisher.clone(),
            }),
            None => PublishStep::Finished(PublishOutcome::Unknown),
        }
    }
}

fn object_name(mesh: &MeshName, stamp: VersionStamp) -> CompactString {
    format_compact!("{mesh}-config-{}", stamp.hash)
}

fn earlier_attempts(row: &VersionRow) -> Vec<AcceptedAttempt> {
    let mut attempts = vec![row.accepted_attempt()];
    attempts.extend(row.earlier.iter().cloned());
    attempts.truncate(MAX_ACCEPTED_ATTEMPTS);
    attempts
}
