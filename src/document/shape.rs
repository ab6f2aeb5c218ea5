//! Parses the JSON text and reports every entry with an invalid structure, not only the first.

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::faults::{DocumentFaults, Fault, FaultKind, FaultPath};
use super::raw::{
    RawDocument, RawFailureDomain, RawHostClass, RawLatencyClass, RawMeasure, RawModel,
    RawOperator, RawPool, RawTeam, Scalar,
};

/// Names of the fields with list values, sorted for binary search.
const LIST_FIELDS: [&str; 9] = [
    "adapters",
    "failure_domains",
    "host_classes",
    "hosts",
    "latency_classes",
    "models",
    "operators",
    "pools",
    "teams",
];

/// Parses a document; fails with all structural faults.
pub(super) fn read(text: &str) -> Result<RawDocument, DocumentFaults> {
    let value: Value = serde_json::from_str(text).map_err(|error| {
        let reason = error.to_string();
        DocumentFaults::one(FaultPath::root(), FaultKind::Syntax { reason })
    })?;
    let mut faults = Vec::new();
    find_misplaced_lists(&FaultPath::root(), &value, &mut faults);
    // Parses the text instead of `value`, which keeps only the last of two fields with one name: a
    // section that an operator pasted twice would otherwise be dropped without an error.
    match serde_json::from_str::<RawDocument>(text) {
        Ok(document) if faults.is_empty() => Ok(document),
        Ok(_) => Err(DocumentFaults { faults }),
        Err(error) => {
            faults.extend(faults_by_entry(&value));
            if faults.is_empty() {
                faults.push(shape(FaultPath::root(), error.to_string()));
            }
            Err(DocumentFaults { faults })
        }
    }
}

/// Finds lists in place of an object or a scalar value.
///
/// serde deserializes a struct from a list by field order. Such a document would be accepted and
/// would change its meaning when a field is added, so this function rejects it.
fn find_misplaced_lists(path: &FaultPath, value: &Value, faults: &mut Vec<Fault>) {
    match value {
        Value::Array(_) => faults.push(shape(path.clone(), "a list does not belong here")),
        Value::Object(fields) => {
            for (name, value) in fields {
                let path = path.field(name);
                match value {
                    Value::Array(items) if LIST_FIELDS.binary_search(&name.as_str()).is_ok() => {
                        for (index, item) in items.iter().enumerate() {
                            find_misplaced_lists(&path.index(index), item, faults);
                        }
                    }
                    other => find_misplaced_lists(&path, other, faults),
                }
            }
        }
        _ => {}
    }
}

fn parse<T: DeserializeOwned>(path: FaultPath, value: &Value) -> Result<T, Fault> {
    T::deserialize(value).map_err(|error| shape(path, error.to_string()))
}

fn faults_by_entry(document: &Value) -> Vec<Fault> {
    let Value::Object(fields) = document else {
        return Vec::new();
    };
    let mut faults = Vec::new();
    for (name, value) in fields {
        let path = FaultPath::root().field(name);
        faults.extend(match name.as_str() {
            "deployment" => Vec::new(),
            "measure" => parse::<RawMeasure>(path, value).err().into_iter().collect(),
            "failure_domains" => entries::<RawFailureDomain>(&path, value),
            "host_classes" => entries::<RawHostClass>(&path, value),
            "models" => entries::<RawModel>(&path, value),
            "pools" => entries::<RawPool>(&path, value),
            "latency_classes" => entries::<RawLatencyClass>(&path, value),
            "teams" => entries::<RawTeam>(&path, value),
            "operators" => entries::<RawOperator>(&path, value),
            _ => vec![shape(path, "a document has no such part")],
        });
    }
    faults
}

fn entries<T: DeserializeOwned>(path: &FaultPath, value: &Value) -> Vec<Fault> {
    match value {
        Value::Array(items) => (items.iter().enumerate())
            .filter_map(|(index, item)| parse::<T>(path.index(index), item).err())
            .collect(),
        other => (parse::<Vec<Scalar>>(path.clone(), other).err())
            .into_iter()
            .collect(),
    }
}

fn shape(path: FaultPath, reason: impl Into<String>) -> Fault {
    let reason = reason.into();
    let kind = FaultKind::Shape { reason };
    Fault { path, kind }
}
