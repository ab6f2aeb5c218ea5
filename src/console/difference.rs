//! Compares documents, and joins two that were made from the same one.
//!
//! Entries of lists are matched by their names and not by their positions, so that an entry added
//! at the front does not make all others look changed.

use serde_json::{Map, Value};

use crate::document::RawDocument;
use crate::document::faults::FaultPath;

/// Fields by which entries of a list are told apart.
const KEY_FIELDS: [&str; 2] = ["name", "failure_domain"];

/// One place at which two documents differ.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The place, with names for entries of lists: `teams[archive].weight`.
    pub path: String,
    /// What stood there, if anything.
    pub before: Option<Value>,
    /// What stands there now, if anything.
    pub after: Option<Value>,
}

/// One place that two operators have changed differently.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// The place in the joined document.
    pub path: FaultPath,
    /// What this operator wants, which the joined document holds.
    pub mine: Option<Value>,
    /// What the revision in force says.
    pub theirs: Option<Value>,
}

/// All places at which `after` differs from `before`.
#[must_use]
pub fn changes(before: &RawDocument, after: &RawDocument) -> Vec<Change> {
    let mut changes = Vec::new();
    compare("", Some(&value(before)), Some(&value(after)), &mut changes);
    changes
}

/// Joins what two operators made of `base`: a place that only one of them changed is taken from
/// that one, and at a place that both changed `mine` stays and a conflict is noted.
#[must_use]
pub fn join(
    base: &RawDocument,
    mine: &RawDocument,
    theirs: &RawDocument,
) -> (RawDocument, Vec<Conflict>) {
    let mut conflicts = Vec::new();
    let joined = join_values(
        &FaultPath::root(),
        Sides {
            base: Some(&value(base)),
            mine: Some(&value(mine)),
            theirs: Some(&value(theirs)),
        },
        &mut conflicts,
    );
    match joined.map(serde_json::from_value) {
        Some(Ok(document)) => (document, conflicts),
        _ => (mine.clone(), conflicts),
    }
}

fn value(document: &RawDocument) -> Value {
    serde_json::to_value(document).unwrap_or_default()
}

fn compare(path: &str, before: Option<&Value>, after: Option<&Value>, changes: &mut Vec<Change>) {
    match (before, after) {
        (before, after) if before == after => {}
        (Some(Value::Object(before)), Some(Value::Object(after))) => {
            for name in names(before.keys(), after.keys()) {
                let place = match path {
                    "" => name.to_owned(),
                    parent => format!("{parent}.{name}"),
                };
                compare(&place, before.get(name), after.get(name), changes);
            }
        }
        (Some(Value::Array(before)), Some(Value::Array(after)))
            if keyed(before) && keyed(after) =>
        {
            for name in names(before.iter().filter_map(key), after.iter().filter_map(key)) {
                let place = format!("{path}[{name}]");
                compare(&place, find(before, name), find(after, name), changes);
            }
        }
        (before, after) => changes.push(Change {
            path: path.to_owned(),
            before: before.cloned(),
            after: after.cloned(),
        }),
    }
}

/// What three documents say of one place.
#[derive(Clone, Copy)]
struct Sides<T> {
    base: T,
    mine: T,
    theirs: T,
}

fn join_values(
    path: &FaultPath,
    sides: Sides<Option<&Value>>,
    conflicts: &mut Vec<Conflict>,
) -> Option<Value> {
    let Sides { base, mine, theirs } = sides;
    match (mine, theirs) {
        (mine, theirs) if mine == theirs || base == theirs => mine.cloned(),
        (mine, theirs) if base == mine => theirs.cloned(),
        (Some(Value::Object(mine)), Some(Value::Object(theirs))) => {
            let empty = Map::new();
            let base = base.and_then(Value::as_object).unwrap_or(&empty);
            let sides = Sides { base, mine, theirs };
            Some(Value::Object(join_objects(path, sides, conflicts)))
        }
        (Some(Value::Array(mine)), Some(Value::Array(theirs)))
            if keyed(mine) && keyed(theirs) && base.is_none_or(keyed_list) =>
        {
            let base = base
                .and_then(Value::as_array)
                .map_or(&[][..], Vec::as_slice);
            let sides = Sides {
                base,
                mine: mine.as_slice(),
                theirs: theirs.as_slice(),
            };
            Some(Value::Array(join_lists(path, sides, conflicts)))
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

fn join_objects(
    path: &FaultPath,
    sides: Sides<&Map<String, Value>>,
    conflicts: &mut Vec<Conflict>,
) -> Map<String, Value> {
    let mut joined = Map::new();
    for name in names(sides.mine.keys(), sides.theirs.keys()) {
        let sides = Sides {
            base: sides.base.get(name),
            mine: sides.mine.get(name),
            theirs: sides.theirs.get(name),
        };
        if let Some(value) = join_values(&path.field(name), sides, conflicts) {
            joined.insert(name.to_owned(), value);
        }
    }
    joined
}

fn join_lists(
    path: &FaultPath,
    sides: Sides<&[Value]>,
    conflicts: &mut Vec<Conflict>,
) -> Vec<Value> {
    let mut joined = Vec::new();
    let mine = sides.mine.iter().filter_map(key);
    for name in names(mine, sides.theirs.iter().filter_map(key)) {
        let place = path.index(joined.len());
        let sides = Sides {
            base: find(sides.base, name),
            mine: find(sides.mine, name),
            theirs: find(sides.theirs, name),
        };
        joined.extend(join_values(&place, sides, conflicts));
    }
    joined
}

/// Names of the first list in their order, then those that only the second has.
fn names<'a, S: AsRef<str> + ?Sized + 'a>(
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

/// Whether every entry has a name and no two have the same.
fn keyed(entries: &[Value]) -> bool {
    let mut keys: Vec<&str> = entries.iter().filter_map(key).collect();
    keys.sort_unstable();
    keys.dedup();
    keys.len() == entries.len()
}

fn keyed_list(value: &Value) -> bool {
    value.as_array().is_some_and(|entries| keyed(entries))
}

fn key(entry: &Value) -> Option<&str> {
    match entry {
        Value::String(text) => Some(text),
        Value::Object(fields) => KEY_FIELDS
            .iter()
            .find_map(|field| fields.get(*field)?.as_str()),
        _ => None,
    }
}

fn find<'a>(entries: &'a [Value], name: &str) -> Option<&'a Value> {
    entries.iter().find(|entry| key(entry) == Some(name))
}

#[cfg(test)]
mod tests;
