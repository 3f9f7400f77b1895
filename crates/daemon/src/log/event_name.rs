use std::fmt;

/// The closed list of events that a node logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[non_exhaustive]
pub enum EventName {
    /// Every listener is open; the addresses are in the fields.
    Listening,
    /// A configuration version came into force.
    ConfigApplied,
    /// A configuration version was refused; the old one stays in force.
    ConfigRefused,
    /// A source sent content that does not match its version; it is fetched from elsewhere.
    ConfigAltered,
    /// A malformed record was dropped.
    RecordRefused,
    /// The process was paused for longer than its lease and rejoins.
    Woke,
    /// The platform stopped or resumed answering.
    PlatformState,
    /// A peer's connection was refused or closed.
    PeerRefused,
    /// A member's state changed.
    MemberChanged,
    /// A backend server announced itself.
    BackendAnnounced,
    /// A backend server left, or its lease lapsed.
    BackendLeft,
    /// An announcement could not be read; nothing that was known changes.
    AnnouncementRefused,
    /// An operator's document could not be read; nothing that was in force changes.
    DocumentRefused,
    /// The settings file has changed; what can change while the node runs was taken over.
    SettingsReloaded,
    /// The changed settings file has mistakes; the settings of before stay in force.
    SettingsRefused,
    /// The entry node chose a server for a request, which answered it.
    RequestServed,
    /// The entry node chose a server for a request, and the attempt there failed.
    RequestAttempted,
    /// The node beside a server refused a request for lack of room.
    RequestRefused,
    /// The node beside a server passed a request to it, and the exchange ended.
    RequestRan,
    /// A request failed or was refused.
    RequestFailed,
    /// Lines beyond the bound were counted instead of written.
    LinesSuppressed,
    /// The row of a version move could not be kept.
    MoveRowFailed,
    /// A version move changed its state.
    MoveChanged,
    /// A graceful shutdown began.
    Draining,
    /// The graceful shutdown has ended.
    Drained,
    /// The process ends.
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
            Self::Woke => "woke",
            Self::PlatformState => "platform-state",
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
            Self::RequestFailed => "request-failed",
            Self::LinesSuppressed => "lines-suppressed",
            Self::MoveRowFailed => "move-row-failed",
            Self::MoveChanged => "move-changed",
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
