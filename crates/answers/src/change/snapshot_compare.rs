use std::collections::BTreeSet;

use bronzelb_kernel::config::ConfigSnapshot;
use compact_str::{CompactString, format_compact};
use serde_json::{Map, Value};

use crate::change::{ChangeKind, ConfigChange};

/// Returns every difference between two configurations, in the order of their fields.
///
/// A service, route or data centre that is present in only one of them counts as one difference;
/// in those present in both, every differing field counts as one.
#[must_use]
pub fn compare_snapshots(old: &ConfigSnapshot, new: &ConfigSnapshot) -> Vec<ConfigChange> {
    let mut changes = Vec::new();
    compare_values("", &to_value(old), &to_value(new), &mut changes);
    changes
}

fn to_value(snapshot: &ConfigSnapshot) -> Value {
    serde_json::to_value(snapshot).expect("a snapshot holds only serializable types")
}

fn compare_values(path: &str, old: &Value, new: &Value, changes: &mut Vec<ConfigChange>) {
    if old == new {
        return;
    }
    if let (Value::Object(old), Value::Object(new)) = (old, new) {
        compare_maps(path, old, new, changes);
        return;
    }
    changes.push(ConfigChange {
        field: path.into(),
        kind: ChangeKind::Changed {
            old: format_value(old),
            new: format_value(new),
        },
    });
}

fn compare_maps(
    path: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    changes: &mut Vec<ConfigChange>,
) {
    let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    for key in keys {
        let field = join_path(path, key);
        match (old.get(key), new.get(key)) {
            (Some(old), Some(new)) => compare_values(&field, old, new, changes),
            (Some(old), None) => changes.push(ConfigChange {
                field,
                kind: ChangeKind::Removed {
                    old: format_value(old),
                },
            }),
            (None, Some(new)) => changes.push(ConfigChange {
                field,
                kind: ChangeKind::Added {
                    new: format_value(new),
                },
            }),
            (None, None) => {}
        }
    }
}

fn join_path(path: &str, key: &str) -> CompactString {
    match path {
        "" => CompactString::from(key),
        _ => format_compact!("{path}.{key}"),
    }
}

/// Formats a value on one line: strings without quotes, other values as JSON.
fn format_value(value: &Value) -> CompactString {
    match value {
        Value::String(text) => CompactString::from(text.as_str()),
        _ => format_compact!("{value}"),
    }
}
