//! Reads the JSON text, and names every entry whose shape is wrong rather than the first.

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::faults::{DocumentFaults, Fault, FaultKind, FaultPath};
use super::raw::{
    RawDocument, RawFailureDomain, RawHostClass, RawLatencyClass, RawMeasure, RawModel,
    RawOperator, RawPool, RawTeam, Scalar,
};

/// Reads a document.
pub(super) fn read(text: &str) -> Result<RawDocument, DocumentFaults> {
    let value: Value = serde_json::from_str(text).map_err(|error| {
        let reason = error.to_string();
        DocumentFaults::one(FaultPath::root(), FaultKind::Syntax { reason })
    })?;
    RawDocument::deserialize_value(&value).map_err(|whole| {
        let faults = match faults_by_entry(&value) {
            faults if faults.is_empty() => vec![whole],
            faults => faults,
        };
        DocumentFaults { faults }
    })
}

impl RawDocument {
    fn deserialize_value(value: &Value) -> Result<Self, Fault> {
        parse(FaultPath::root(), value)
    }
}

fn parse<T: DeserializeOwned>(path: FaultPath, value: &Value) -> Result<T, Fault> {
    T::deserialize(value).map_err(|error| {
        let reason = error.to_string();
        let kind = FaultKind::Shape { reason };
        Fault { path, kind }
    })
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
            _ => vec![unknown_section(path)],
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

fn unknown_section(path: FaultPath) -> Fault {
    let reason = String::from("a document has no such part");
    let kind = FaultKind::Shape { reason };
    Fault { path, kind }
}
