//! Compares documents and merges concurrent changes (three-way merge).
//!
//! List entries are matched by name instead of position, so that an entry inserted at the front
//! does not mark all later entries as changed.

use serde_json::{Map, Value};

use crate::document::RawDocument;
use crate::document::faults::FaultPath;

/// Fields that identify an entry of a list, in order of preference.
const KEY_FIELDS: [&str; 2] = ["name", "failure_domain"];

/// A value that differs between two documents.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Path of the value, with list entries by name: `teams[archive].weight`.
    pub path: String,
    /// The value before the change; `None` if it was absent.
    pub before: Option<Value>,
    /// The value after the change; `None` if it is absent.
    pub after: Option<Value>,
}

/// A value that two operators changed differently.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// Path in the merged document.
    pub path: FaultPath,
    /// This operator's value, which the merged document keeps; `None` if it is absent.
    pub mine: Option<Value>,
    /// The value in the revision in force; `None` if it is absent.
    pub theirs: Option<Value>,
}

/// Returns all values in which `after` differs from `before`.
#[must_use]
pub fn changes(before: &RawDocument, after: &RawDocument) -> Vec<Change> {
    let mut changes = Vec::new();
    collect_changes(
        "",
        Some(&to_value(before)),
        Some(&to_value(after)),
        &mut changes,
    );
    changes
}

/// Merges two documents that were both edited from `base`.
///
/// A value that only one side changed is taken from that side. If both sides changed a value
/// differently, the merged document keeps `mine` and a conflict is returned.
#[must_use]
pub fn merge(
    base: &RawDocument,
    mine: &RawDocument,
    theirs: &RawDocument,
) -> (RawDocument, Vec<Conflict>) {
    let mut conflicts = Vec::new();
    let merged = merge_values(
        &FaultPath::root(),
        Versions {
            base: Some(&to_value(base)),
            mine: Some(&to_value(mine)),
            theirs: Some(&to_value(theirs)),
        },
        &mut conflicts,
    );
    match merged.map(serde_json::from_value) {
        Some(Ok(document)) => (document, conflicts),
        _ => (mine.clone(), conflicts),
    }
}

fn to_value(document: &RawDocument) -> Value {
    serde_json::to_value(document).unwrap_or_default()
}

fn collect_changes(
    path: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    changes: &mut Vec<Change>,
) {
    match (before, after) {
        (before, after) if before == after => {}
        (Some(Value::Object(before)), Some(Value::Object(after))) => {
            for name in union(before.keys(), after.keys()) {
                let child_path = match path {
                    "" => name.to_owned(),
                    parent => format!("{parent}.{name}"),
                };
                collect_changes(&child_path, before.get(name), after.get(name), changes);
            }
        }
        (Some(Value::Array(before)), Some(Value::Array(after)))
            if has_unique_keys(before) && has_unique_keys(after) =>
        {
            for name in union(
                before.iter().filter_map(entry_key),
                after.iter().filter_map(entry_key),
            ) {
                let child_path = format!("{path}[{name}]");
                collect_changes(
                    &child_path,
                    find_entry(before, name),
                    find_entry(after, name),
                    changes,
                );
            }
        }
        (before, after) => changes.push(Change {
            path: path.to_owned(),
            before: before.cloned(),
            after: after.cloned(),
        }),
    }
}

/// The versions of one value in a three-way merge.
#[derive(Clone, Copy)]
struct Versions<T> {
    base: T,
    mine: T,
    theirs: T,
}

fn merge_values(
    path: &FaultPath,
    versions: Versions<Option<&Value>>,
    conflicts: &mut Vec<Conflict>,
) -> Option<Value> {
    let Versions { base, mine, theirs } = versions;
    match (mine, theirs) {
        (mine, theirs) if mine == theirs || base == theirs => mine.cloned(),
        (mine, theirs) if base == mine => theirs.cloned(),
        (Some(Value::Object(mine)), Some(Value::Object(theirs))) => {
            let empty = Map::new();
            let base = base.and_then(Value::as_object).unwrap_or(&empty);
            let versions = Versions { base, mine, theirs };
            Some(Value::Object(merge_objects(path, versions, conflicts)))
        }
        (Some(Value::Array(mine)), Some(Value::Array(theirs)))
            if has_unique_keys(mine)
                && has_unique_keys(theirs)
                && base.is_none_or(is_list_with_unique_keys) =>
        {
            let base = base
                .and_then(Value::as_array)
                .map_or(&[][..], Vec::as_slice);
            let versions = Versions {
                base,
                mine: mine.as_slice(),
                theirs: theirs.as_slice(),
            };
            Some(Value::Array(merge_lists(path, versions, conflicts)))
        }
        (mine, theirs) => {
            conflicts.push(Conflict {
                path: path.clone(),
                mine: mine.cloned(),
                theirs: theirs.cloned(),
            });
            mine.cloned()
        }
    }
}

fn merge_objects(
    path: &FaultPath,
    versions: Versions<&Map<String, Value>>,
    conflicts: &mut Vec<Conflict>,
) -> Map<String, Value> {
    let mut merged = Map::new();
    for name in union(versions.mine.keys(), versions.theirs.keys()) {
        let versions = Versions {
            base: versions.base.get(name),
            mine: versions.mine.get(name),
            theirs: versions.theirs.get(name),
        };
        if let Some(value) = merge_values(&path.field(name), versions, conflicts) {
            merged.insert(name.to_owned(), value);
        }
    }
    merged
}

fn merge_lists(
    path: &FaultPath,
    versions: Versions<&[Value]>,
    conflicts: &mut Vec<Conflict>,
) -> Vec<Value> {
    let mut merged = Vec::new();
    let mine = versions.mine.iter().filter_map(entry_key);
    for name in union(mine, versions.theirs.iter().filter_map(entry_key)) {
        let child_path = path.index(merged.len());
        let versions = Versions {
            base: find_entry(versions.base, name),
            mine: find_entry(versions.mine, name),
            theirs: find_entry(versions.theirs, name),
        };
        merged.extend(merge_values(&child_path, versions, conflicts));
    }
    merged
}

/// Returns the names of `first` in their order, followed by names that only `second` has.
fn union<'a, S: AsRef<str> + ?Sized + 'a>(
    first: impl Iterator<Item = &'a S>,
    second: impl Iterator<Item = &'a S>,
) -> Vec<&'a str> {
    let mut names: Vec<&str> = first.map(AsRef::as_ref).collect();
    for name in second.map(AsRef::as_ref) {
        if !names.contains(&name) {
            names.push(name);
        }
    }
    names
}

/// Returns whether every entry has a key and all keys differ.
fn has_unique_keys(entries: &[Value]) -> bool {
    let mut keys: Vec<&str> = entries.iter().filter_map(entry_key).collect();
    keys.sort_unstable();
    keys.dedup();
    keys.len() == entries.len()
}

fn is_list_with_unique_keys(value: &Value) -> bool {
    value
        .as_array()
        .is_some_and(|entries| has_unique_keys(entries))
}

fn entry_key(entry: &Value) -> Option<&str> {
    match entry {
        Value::String(text) => Some(text),
        Value::Object(fields) => KEY_FIELDS
            .iter()
            .find_map(|field| fields.get(*field)?.as_str()),
        _ => None,
    }
}

fn find_entry<'a>(entries: &'a [Value], name: &str) -> Option<&'a Value> {
    entries.iter().find(|entry| entry_key(entry) == Some(name))
}

#[cfg(test)]
mod tests;
