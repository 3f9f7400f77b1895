use std::fmt;

use compact_str::CompactString;
use serde::Serialize;

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigChange {
    /// Path of the service, route or field that differs, such as `routes.landing.timeout`.
    pub field: CompactString,
    /// Kind of the difference.
    #[serde(flatten)]
    pub kind: ChangeKind,
}

/// Kind of a difference; values are in the configuration's JSON form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum ChangeKind {
    /// Present only in the new configuration.
    Added {
        /// Value in the new configuration.
        new: CompactString,
    },
    /// Present only in the old configuration.
    Removed {
        /// Value in the old configuration.
        old: CompactString,
    },
    /// Present in both with different values.
    Changed {
        /// Value in the old configuration.
        old: CompactString,
        /// Value in the new configuration.
        new: CompactString,
    },
}

impl fmt::Display for ConfigChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = &self.field;
        match &self.kind {
            ChangeKind::Added { new } => write!(f, "+ {field}: {new}"),
            ChangeKind::Removed { old } => write!(f, "- {field}: {old}"),
            ChangeKind::Changed { old, new } => write!(f, "~ {field}: {old} -> {new}"),
        }
    }
}
