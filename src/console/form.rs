//! Parses posted forms into documents and actions.

use serde_json::Value;
use sha2::{Digest, Sha256};

use super::fields::{self, FieldVisitor, Group, ReferencedList};
use crate::document::RawDocument;
use crate::document::faults::FaultPath;
use crate::document::hex::to_hex;
use crate::document::raw::{
    RawEngine, RawFailureDomain, RawHostClass, RawLatencyClass, RawModel, RawOperator,
    RawPlainService, RawPool, RawPoolHosts, RawPoolKind, RawTeam, Scalar,
};

/// Suffix that turns the field name of a token hash into that of the new token's field.
pub(super) const NEW_TOKEN_SUFFIX: &str = ".new";
/// Form value of a checked checkbox.
pub(super) const CHECKED: &str = "true";
/// Form value for a pool of plain services.
pub(super) const SERVICE_KIND: &str = "service";
/// Form value for a pool of model engines.
pub(super) const ENGINE_KIND: &str = "engine";

/// The fields of a posted form, sorted by name; equal names keep the order of the post.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Form {
    fields: Vec<(String, String)>,
}

impl Form {
    /// Parses a body of type `application/x-www-form-urlencoded`.
    #[must_use]
    pub fn parse(body: &[u8]) -> Self {
        let fields = url::form_urlencoded::parse(body).into_owned().collect();
        Self::from_fields(fields)
    }

    fn from_fields(mut fields: Vec<(String, String)>) -> Self {
        fields.sort_by(|a, b| a.0.cmp(&b.0));
        Self { fields }
    }

    /// Returns the first value of the field `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.all(name).first().map(|(_, value)| value.as_str())
    }

    /// Returns all fields called `name`.
    fn all(&self, name: &str) -> &[(String, String)] {
        let start = self
            .fields
            .partition_point(|(field_name, _)| field_name.as_str() < name);
        let end = self
            .fields
            .partition_point(|(field_name, _)| field_name.as_str() <= name);
        &self.fields[start..end]
    }

    /// Returns the entry positions of `list` in field names, sorted and without duplicates.
    fn positions(&self, list: &FaultPath) -> Vec<usize> {
        let prefix = format!("{}[", list.as_str());
        let start = self
            .fields
            .partition_point(|(field_name, _)| *field_name < prefix);
        let rest = &self.fields[start..];
        let suffixes = rest
            .iter()
            .map_while(|(field_name, _)| field_name.strip_prefix(&prefix));
        let mut positions: Vec<usize> = suffixes
            .filter_map(|rest| rest.split_once(']')?.0.parse().ok())
            .collect();
        positions.sort_unstable();
        positions.dedup();
        positions
    }
}

/// The action of the button that submitted the form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Validate the document and show its changes.
    Check,
    /// Propose the document.
    Apply,
    /// Add an entry; holds the list's field, or for pools `engines` or `services`.
    Add(String),
    /// Remove an entry from a list.
    Remove {
        /// Field name of the list.
        list: String,
        /// Position of the entry, from 0.
        position: usize,
    },
}

impl Action {
    /// Returns the action of a form; an unknown action becomes `Check`, which changes nothing.
    #[must_use]
    pub fn from_form(form: &Form) -> Self {
        let action = form.get("action").unwrap_or_default();
        match action.split_once(' ') {
            None if action == "apply" => Self::Apply,
            Some(("add", list)) => Self::Add(list.to_owned()),
            Some(("remove", entry)) => Self::parse_removal(entry).unwrap_or(Self::Check),
            _ => Self::Check,
        }
    }

    fn parse_removal(entry: &str) -> Option<Self> {
        let (list, position) = entry.strip_suffix(']')?.split_once('[')?;
        let position = position.parse().ok()?;
        let list = list.to_owned();
        Some(Self::Remove { list, position })
    }

    /// Adds or removes the entry in `document`; other actions leave it unchanged.
    pub fn edit(&self, document: &mut RawDocument) {
        match self {
            Self::Check | Self::Apply => {}
            Self::Add(list) => add_entry(list, document),
            Self::Remove { list, position } => remove_entry(list, *position, document),
        }
    }
}

fn add_entry(list: &str, document: &mut RawDocument) {
    match list {
        "teams" => document.teams.push(RawTeam::default()),
        "latency_classes" => document.latency_classes.push(RawLatencyClass::default()),
        "failure_domains" => document.failure_domains.push(RawFailureDomain::default()),
        "host_classes" => document.host_classes.push(RawHostClass::default()),
        "models" => document.models.push(RawModel::default()),
        "operators" => document.operators.push(RawOperator::default()),
        "engines" => document
            .pools
            .push(new_pool(RawPoolKind::Engine(RawEngine::default()))),
        "services" => {
            let service = RawPoolKind::Service(RawPlainService::default());
            document.pools.push(new_pool(service));
        }
        _ => {}
    }
}

fn new_pool(kind: RawPoolKind) -> RawPool {
    RawPool {
        kind,
        ..RawPool::default()
    }
}

fn remove_entry(list: &str, position: usize, document: &mut RawDocument) {
    fn remove_at<T>(entries: &mut Vec<T>, position: usize) {
        if position < entries.len() {
            entries.remove(position);
        }
    }
    match list {
        "teams" => remove_at(&mut document.teams, position),
        "latency_classes" => remove_at(&mut document.latency_classes, position),
        "failure_domains" => remove_at(&mut document.failure_domains, position),
        "host_classes" => remove_at(&mut document.host_classes, position),
        "models" => remove_at(&mut document.models, position),
        "pools" => remove_at(&mut document.pools, position),
        "operators" => remove_at(&mut document.operators, position),
        _ => {}
    }
}

/// Returns the document that is encoded in form fields.
///
/// Input of a number field that is not a number is kept as text, so that validation reports the
/// fault at the field and the field still shows the operator's input.
#[must_use]
pub fn document_from_fields(fields: &[(String, String)]) -> RawDocument {
    document_from_form(&Form::from_fields(fields.to_vec()))
}

/// Returns the document that is encoded in a parsed form.
pub(super) fn document_from_form(form: &Form) -> RawDocument {
    let mut document = RawDocument::default();
    fields::document(&mut FormReader { form }, &mut document);
    document
}

struct FormReader<'a> {
    form: &'a Form,
}

impl FormReader<'_> {
    fn trimmed_value(&self, path: &FaultPath) -> &str {
        self.form.get(path.as_str()).unwrap_or_default().trim()
    }
}

impl FieldVisitor for FormReader<'_> {
    fn text(&mut self, path: &FaultPath, _label: &'static str, value: &mut Scalar) {
        *value = text_or_null(self.trimmed_value(path));
    }

    fn number(&mut self, path: &FaultPath, _label: &'static str, value: &mut Scalar) {
        *value = number_or_text(self.trimmed_value(path));
    }

    fn flag(&mut self, path: &FaultPath, _label: &'static str, value: &mut Scalar) {
        *value = Scalar::from(self.trimmed_value(path) == CHECKED);
    }

    fn token(&mut self, path: &FaultPath, value: &mut Scalar) {
        let new = format!("{}{NEW_TOKEN_SUFFIX}", path.as_str());
        *value = match self.form.get(&new) {
            None | Some("") => text_or_null(self.trimmed_value(path)),
            Some(token) => Scalar::from(to_hex(&Sha256::digest(token))),
        };
    }

    fn reference(
        &mut self,
        path: &FaultPath,
        _label: &'static str,
        _list: ReferencedList,
        value: &mut Scalar,
    ) {
        *value = text_or_null(self.trimmed_value(path));
    }

    fn references(
        &mut self,
        path: &FaultPath,
        _label: &'static str,
        _list: ReferencedList,
        values: &mut Vec<Scalar>,
    ) {
        *values = (self.form.all(path.as_str()).iter())
            .map(|(_, value)| Scalar::from(value.as_str()))
            .collect();
    }

    fn word_list(&mut self, path: &FaultPath, _label: &'static str, values: &mut Vec<Scalar>) {
        let words = self.trimmed_value(path).split([',', ' ', '\n', '\r', '\t']);
        let words = words.filter(|word| !word.is_empty());
        *values = words.map(Scalar::from).collect();
    }

    fn pool_kind(&mut self, path: &FaultPath, kind: &mut RawPoolKind) {
        *kind = match self.trimmed_value(path) {
            SERVICE_KIND => RawPoolKind::Service(RawPlainService::default()),
            _ => RawPoolKind::Engine(RawEngine::default()),
        };
    }

    fn pool_hosts(&mut self, path: &FaultPath, hosts: &mut Vec<RawPoolHosts>) {
        for position in self.form.positions(path) {
            let path = path.index(position);
            let count = number_or_text(self.trimmed_value(&path.field("count")));
            // The form offers a row for every failure domain; a row without a count is skipped.
            if count.0 != Value::Null {
                let failure_domain =
                    text_or_null(self.trimmed_value(&path.field("failure_domain")));
                hosts.push(RawPoolHosts {
                    failure_domain,
                    count,
                });
            }
        }
    }

    fn section(
        &mut self,
        _title: &'static str,
        _hint: &'static str,
        fields: impl FnOnce(&mut Self),
    ) {
        fields(self);
    }

    fn group<T: Default>(
        &mut self,
        group: &Group<T>,
        entries: &mut Vec<T>,
        entry: fn(&mut Self, &FaultPath, &mut T),
    ) {
        let list = FaultPath::root().field(group.field);
        for position in self.form.positions(&list) {
            let mut read = T::default();
            entry(self, &list.index(position), &mut read);
            entries.push(read);
        }
    }
}

fn text_or_null(typed: &str) -> Scalar {
    match typed {
        "" => Scalar(Value::Null),
        text => Scalar::from(text),
    }
}

fn number_or_text(typed: &str) -> Scalar {
    let unsigned = typed.parse::<u64>().map(Scalar::from);
    let signed = || typed.parse::<i64>().map(Scalar::from);
    let float = || match typed.parse::<f64>() {
        Ok(number) if number.is_finite() => Some(Scalar::from(number)),
        _ => None,
    };
    let number = unsigned.ok().or_else(|| signed().ok()).or_else(float);
    number.unwrap_or_else(|| text_or_null(typed))
}

#[cfg(test)]
mod tests;
