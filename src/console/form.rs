//! Reads a posted form back into a document.

use serde_json::Value;
use sha2::{Digest, Sha256};

use super::fields::{self, FieldVisitor, Group, Named};
use crate::document::RawDocument;
use crate::document::faults::FaultPath;
use crate::document::hex::to_hex;
use crate::document::raw::{
    RawEngine, RawFailureDomain, RawHostClass, RawLatencyClass, RawModel, RawOperator,
    RawPlainService, RawPool, RawPoolHosts, RawPoolKind, RawTeam, Scalar,
};

/// What follows the name of a token's hash in the name of the field for a new token.
pub(super) const NEW_TOKEN_SUFFIX: &str = ".new";
/// The value of a ticked box.
pub(super) const TICKED: &str = "true";
/// The word for a pool of plain services.
pub(super) const SERVICE_KIND: &str = "service";
/// The word for a pool of model engines.
pub(super) const ENGINE_KIND: &str = "engine";

/// The fields of a posted form, sorted by name, each in its order of coming.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Form {
    fields: Vec<(String, String)>,
}

impl Form {
    /// Reads a body of type `application/x-www-form-urlencoded`.
    #[must_use]
    pub fn parse(body: &[u8]) -> Self {
        let fields = url::form_urlencoded::parse(body).into_owned().collect();
        Self::from_fields(fields)
    }

    fn from_fields(mut fields: Vec<(String, String)>) -> Self {
        fields.sort_by(|a, b| a.0.cmp(&b.0));
        Self { fields }
    }

    /// The first value of a field.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.all(name).first().map(|(_, value)| value.as_str())
    }

    /// The fields of a name.
    fn all(&self, name: &str) -> &[(String, String)] {
        let start = self
            .fields
            .partition_point(|(held, _)| held.as_str() < name);
        let end = self
            .fields
            .partition_point(|(held, _)| held.as_str() <= name);
        &self.fields[start..end]
    }

    /// The positions of a list that any field names, sorted.
    fn positions(&self, list: &FaultPath) -> Vec<usize> {
        let prefix = format!("{}[", list.as_str());
        let start = self.fields.partition_point(|(held, _)| *held < prefix);
        let rest = &self.fields[start..];
        let named = rest
            .iter()
            .map_while(|(held, _)| held.strip_prefix(&prefix));
        let mut positions: Vec<usize> = named
            .filter_map(|rest| rest.split_once(']')?.0.parse().ok())
            .collect();
        positions.sort_unstable();
        positions.dedup();
        positions
    }
}

/// Which button was pressed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Check and show the difference.
    Check,
    /// Put in force.
    Apply,
    /// Add an entry to a list.
    Add(String),
    /// Remove an entry of a list.
    Remove {
        /// The list's field.
        list: String,
        /// The entry's position.
        position: usize,
    },
}

impl Action {
    /// The action of a form; one that is not known only checks, which changes nothing.
    #[must_use]
    pub fn of(form: &Form) -> Self {
        let action = form.get("action").unwrap_or_default();
        match action.split_once(' ') {
            None if action == "apply" => Self::Apply,
            Some(("add", list)) => Self::Add(list.to_owned()),
            Some(("remove", entry)) => Self::removal(entry).unwrap_or(Self::Check),
            _ => Self::Check,
        }
    }

    fn removal(entry: &str) -> Option<Self> {
        let (list, position) = entry.strip_suffix(']')?.split_once('[')?;
        let position = position.parse().ok()?;
        let list = list.to_owned();
        Some(Self::Remove { list, position })
    }

    /// Adds or removes an entry.
    pub fn edit(&self, document: &mut RawDocument) {
        match self {
            Self::Check | Self::Apply => {}
            Self::Add(list) => add(list, document),
            Self::Remove { list, position } => remove(list, *position, document),
        }
    }
}

fn add(list: &str, document: &mut RawDocument) {
    match list {
        "teams" => document.teams.push(RawTeam::default()),
        "latency_classes" => document.latency_classes.push(RawLatencyClass::default()),
        "failure_domains" => document.failure_domains.push(RawFailureDomain::default()),
        "host_classes" => document.host_classes.push(RawHostClass::default()),
        "models" => document.models.push(RawModel::default()),
        "operators" => document.operators.push(RawOperator::default()),
        "engines" => document
            .pools
            .push(pool(RawPoolKind::Engine(RawEngine::default()))),
        "services" => {
            let service = RawPoolKind::Service(RawPlainService::default());
            document.pools.push(pool(service));
        }
        _ => {}
    }
}

fn pool(kind: RawPoolKind) -> RawPool {
    RawPool {
        kind,
        ..RawPool::default()
    }
}

fn remove(list: &str, position: usize, document: &mut RawDocument) {
    fn take<T>(entries: &mut Vec<T>, position: usize) {
        if position < entries.len() {
            entries.remove(position);
        }
    }
    match list {
        "teams" => take(&mut document.teams, position),
        "latency_classes" => take(&mut document.latency_classes, position),
        "failure_domains" => take(&mut document.failure_domains, position),
        "host_classes" => take(&mut document.host_classes, position),
        "models" => take(&mut document.models, position),
        "pools" => take(&mut document.pools, position),
        "operators" => take(&mut document.operators, position),
        _ => {}
    }
}

/// The document that a form's fields hold.
///
/// What is typed into a field of numbers and is no number is kept as a text: the check then shows
/// the fault beside the field, with what was typed still in it.
#[must_use]
pub fn document_from_form(fields: &[(String, String)]) -> RawDocument {
    document_from(&Form::from_fields(fields.to_vec()))
}

/// The document that a form holds.
pub(super) fn document_from(form: &Form) -> RawDocument {
    let mut document = RawDocument::default();
    fields::document(&mut Filler { form }, &mut document);
    document
}

struct Filler<'a> {
    form: &'a Form,
}

impl Filler<'_> {
    fn typed(&self, at: &FaultPath) -> &str {
        self.form.get(at.as_str()).unwrap_or_default().trim()
    }
}

impl FieldVisitor for Filler<'_> {
    fn text(&mut self, at: &FaultPath, _label: &'static str, value: &mut Scalar) {
        *value = text_or_nothing(self.typed(at));
    }

    fn number(&mut self, at: &FaultPath, _label: &'static str, value: &mut Scalar) {
        *value = number_or_text(self.typed(at));
    }

    fn flag(&mut self, at: &FaultPath, _label: &'static str, value: &mut Scalar) {
        *value = Scalar::from(self.typed(at) == TICKED);
    }

    fn token(&mut self, at: &FaultPath, value: &mut Scalar) {
        let new = format!("{}{NEW_TOKEN_SUFFIX}", at.as_str());
        *value = match self.form.get(&new) {
            None | Some("") => text_or_nothing(self.typed(at)),
            Some(token) => Scalar::from(to_hex(&Sha256::digest(token))),
        };
    }

    fn choice(&mut self, at: &FaultPath, _label: &'static str, _list: Named, value: &mut Scalar) {
        *value = text_or_nothing(self.typed(at));
    }

    fn choices(
        &mut self,
        at: &FaultPath,
        _label: &'static str,
        _list: Named,
        values: &mut Vec<Scalar>,
    ) {
        *values = (self.form.all(at.as_str()).iter())
            .map(|(_, value)| Scalar::from(value.as_str()))
            .collect();
    }

    fn words(&mut self, at: &FaultPath, _label: &'static str, values: &mut Vec<Scalar>) {
        let words = self.typed(at).split([',', ' ', '\n', '\r', '\t']);
        let words = words.filter(|word| !word.is_empty());
        *values = words.map(Scalar::from).collect();
    }

    fn pool_kind(&mut self, at: &FaultPath, kind: &mut RawPoolKind) {
        *kind = match self.typed(at) {
            SERVICE_KIND => RawPoolKind::Service(RawPlainService::default()),
            _ => RawPoolKind::Engine(RawEngine::default()),
        };
    }

    fn pool_hosts(&mut self, at: &FaultPath, hosts: &mut Vec<RawPoolHosts>) {
        for position in self.form.positions(at) {
            let at = at.index(position);
            let count = number_or_text(self.typed(&at.field("count")));
            // A failure domain without a number stands in the form only to be filled in.
            if count.0 != Value::Null {
                let failure_domain = text_or_nothing(self.typed(&at.field("failure_domain")));
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

fn text_or_nothing(typed: &str) -> Scalar {
    match typed {
        "" => Scalar(Value::Null),
        text => Scalar::from(text),
    }
}

fn number_or_text(typed: &str) -> Scalar {
    let whole = typed.parse::<u64>().map(Scalar::from);
    let signed = || typed.parse::<i64>().map(Scalar::from);
    let real = || match typed.parse::<f64>() {
        Ok(number) if number.is_finite() => Some(Scalar::from(number)),
        _ => None,
    };
    let number = whole.ok().or_else(|| signed().ok()).or_else(real);
    number.unwrap_or_else(|| text_or_nothing(typed))
}

#[cfg(test)]
mod tests;
