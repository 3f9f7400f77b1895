use std::{future::Future, time::Duration};

use bronzelb_kernel::{
    clock::ClockInstant,
    error::{ErrorKind, MeshError},
};
use bronzelb_store::client::{PlatformClient, PlatformTarget};
use clap::{Arg, ArgMatches};

use crate::{
    builder::{timeout_arg, timeout_deadline},
    platform::wall_clock,
};

const ADDRESS: &str = "platform";
const KIND: &str = "platform-kind";
const DEFAULT_TIMEOUT: &str = "30s";
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Client of the platform, with the deadline of the command.
#[derive(Debug)]
pub(crate) struct PlatformAccess {
    /// Client of the platform.
    pub(crate) client: PlatformClient,
    /// Deadline of the command.
    pub(crate) deadline: ClockInstant,
}

impl PlatformAccess {
    /// Builds the options for the platform and the timeout.
    pub(crate) fn args() -> [Arg; 3] {
        let [address, kind] = Self::optional_args();
        [address.required(true), kind, timeout_arg(DEFAULT_TIMEOUT)]
    }

    /// Builds the options for the platform, for commands that do not require it and define their
    /// own timeout.
    pub(crate) fn optional_args() -> [Arg; 2] {
        [
            Arg::new(ADDRESS)
                .long("platform")
                .value_name("ADDRESS")
                .help("Address of the platform, such as 10.1.0.4:8080"),
            Arg::new(KIND)
                .long("platform-kind")
                .value_name("KIND")
                .default_value("http")
                .help("Kind of the platform"),
        ]
    }

    /// Builds the client that the options select.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self, MeshError> {
        let access = Self::from_optional(matches)?;
        Ok(access.expect("the option is required"))
    }

    /// Builds the client that the options select, if they name a platform.
    pub(crate) fn from_optional(matches: &ArgMatches) -> Result<Option<Self>, MeshError> {
        let Some(address) = matches.get_one::<String>(ADDRESS) else {
            return Ok(None);
        };
        let kind = matches
            .get_one::<String>(KIND)
            .expect("the option has a default");
        let target = PlatformTarget::new(address.as_str());
        Ok(Some(Self {
            client: PlatformClient::connect(kind, &target)?,
            deadline: timeout_deadline(matches),
        }))
    }

    /// Retries an idempotent call until the platform responds or the deadline passes.
    pub(crate) async fn retry_call<T, F>(&self, call: impl Fn() -> F) -> Result<T, MeshError>
    where
        F: Future<Output = Result<T, MeshError>>,
    {
        loop {
            match call().await {
                Err(error) if error.kind() == ErrorKind::PlatformAway && !self.has_timed_out() => {
                    self.wait_before_retry().await;
                }
                result => return result,
            }
        }
    }

    /// Waits for the retry delay, or until the deadline if that is earlier.
    pub(crate) async fn wait_before_retry(&self) {
        let remaining = self.deadline.remaining(wall_clock()).to_std();
        tokio::time::sleep(RETRY_DELAY.min(remaining)).await;
    }

    /// Returns whether the deadline has passed.
    pub(crate) fn has_timed_out(&self) -> bool {
        self.deadline.has_passed(wall_clock())
    }
}
