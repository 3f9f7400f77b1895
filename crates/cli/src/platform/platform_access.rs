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
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A client of the platform together with the instant at which the command gives up.
#[derive(Debug)]
pub(crate) struct PlatformAccess {
    /// Client of the platform.
    pub(crate) client: PlatformClient,
    /// When the command gives up.
    pub(crate) deadline: ClockInstant,
}

impl PlatformAccess {
    /// Builds the options that name the platform and limit the time.
    pub(crate) fn args() -> [Arg; 3] {
        let [address, kind] = Self::optional_args();
        [address.required(true), kind, timeout_arg(DEFAULT_TIMEOUT)]
    }

    /// Builds the options that name the platform, for commands that can do without it and have a
    /// timeout of their own.
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

    /// Builds the client that the options ask for.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self, MeshError> {
        let access = Self::from_optional(matches)?;
        Ok(access.expect("the option is required"))
    }

    /// Builds the client that the options ask for, if they name a platform.
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

    /// Repeats a call that may safely run twice until the platform answers or time is up.
    pub(crate) async fn repeat<T, F>(&self, call: impl Fn() -> F) -> Result<T, MeshError>
    where
        F: Future<Output = Result<T, MeshError>>,
    {
        loop {
            match call().await {
                Err(error) if error.kind() == ErrorKind::PlatformAway && !self.is_over() => {
                    self.pause().await;
                }
                result => return result,
            }
        }
    }

    /// Waits a moment before the next try, at most until time is up.
    pub(crate) async fn pause(&self) {
        let left = self.deadline.remaining(wall_clock()).to_std();
        tokio::time::sleep(RETRY_PAUSE.min(left)).await;
    }

    /// Returns whether time is up.
    pub(crate) fn is_over(&self) -> bool {
        self.deadline.has_passed(wall_clock())
    }
}
