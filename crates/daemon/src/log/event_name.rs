use std::fmt;

/// Events that a node logs, as a closed list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[non_exhaustive]
pub enum EventName {
    /// All listeners are open; the fields hold their addresses.
    Listening,
    /// A configuration version came into force.
    ConfigApplied,
    /// A configuration version was rejected; the previous one stays in force.
    ConfigRefused,
    /// A source sent content that does not match its version; another source is tried.
    ConfigAltered,
    /// A malformed record was dropped.
    RecordRefused,
    /// The process resumed after a pause longer than its lease, and rejoins the mesh.
    Resumed,
    /// The platform became unreachable or reachable.
    PlatformState,
    /// The platform has returned from an older copy; what it lost is written again.
    PlatformRestored,
    /// A peer's connection was rejected or closed.
    PeerRefused,
    /// A member's state changed.
    MemberChanged,
    /// A backend server announced itself.
    BackendAnnounced,
    /// A backend server left, or its lease expired.
    BackendLeft,
    /// An announcement could not be parsed; the known servers are unchanged.
    AnnouncementRefused,
    /// An operator's document could not be parsed; the configuration in force is unchanged.
    DocumentRefused,
    /// The settings file has changed; the settings that can be reloaded were applied.
    SettingsReloaded,
    /// The changed settings file is invalid; the previous settings stay in force.
    SettingsRefused,
    /// The entry node selected a server for a request, and the server answered.
    RequestServed,
    /// The entry node selected a server for a request, and the attempt failed.
    RequestAttempted,
    /// The node beside a server rejected a request for lack of capacity.
    RequestRefused,
    /// The node beside a server forwarded a request to it, and the exchange ended.
    RequestRan,
    /// Requests of a client account were refused because of its usage cap; the fields count them.
    AccountRefused,
    /// A backend server's stated rate limit changed or is in force; the fields count the requests
    /// sent to it.
    ServerLimit,
    /// A backend server counts as cold after an event, or has stated how much longer it is cold.
    ServerCold,
    /// A request failed or was rejected.
    RequestFailed,
    /// Log lines over the rate limit were counted instead of written.
    LinesSuppressed,
    /// The platform row of a version move could not be reconciled.
    MoveRowFailed,
    /// A version move changed state.
    MoveChanged,
    /// What a judge of a version move knows; the fields hold shares, counts and tests.
    MoveJudged,
    /// The evacuation of a data centre was ordered, or the order ended.
    EvacuationChanged,
    /// A graceful shutdown began.
    Draining,
    /// A graceful shutdown ended.
    Drained,
    /// The process exits.
    Stopped,
}

impl EventName {
    /// Returns the name in the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Listening => "listening",
            Self::ConfigApplied => "config-applied",
            Self::ConfigRefused => "config-refused",
            Self::ConfigAltered => "config-altered",
            Self::RecordRefused => "record-refused",
            Self::Resumed => "woke",
            Self::PlatformState => "platform-state",
            Self::PlatformRestored => "platform-restored",
            Self::PeerRefused => "peer-refused",
            Self::MemberChanged => "member-changed",
            Self::BackendAnnounced => "backend-announced",
            Self::BackendLeft => "backend-left",
            Self::AnnouncementRefused => "announcement-refused",
            Self::DocumentRefused => "document-refused",
            Self::SettingsReloaded => "settings-reloaded",
            Self::SettingsRefused => "settings-refused",
            Self::RequestServed => "request-served",
            Self::RequestAttempted => "request-attempted",
            Self::RequestRefused => "request-refused",
            Self::RequestRan => "request-ran",
            Self::AccountRefused => "account-refused",
            Self::ServerLimit => "server-limit",
            Self::ServerCold => "server-cold",
            Self::RequestFailed => "request-failed",
            Self::LinesSuppressed => "lines-suppressed",
            Self::MoveRowFailed => "move-row-failed",
            Self::MoveChanged => "move-changed",
            Self::MoveJudged => "move-judged",
            Self::EvacuationChanged => "evacuation-changed",
            Self::Draining => "draining",
            Self::Drained => "drained",
            Self::Stopped => "stopped",
        }
    }
}

impl fmt::Display for EventName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
