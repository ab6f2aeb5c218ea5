//! Validates a raw document and resolves its names; reports every fault with its path.

mod parts;
mod reader;

use super::checked::Document;
use super::faults::{DocumentFaults, FaultKind, FaultPath};
use super::raw::RawDocument;
use reader::Reader;

impl Document {
    /// Parses and validates a document from JSON text.
    ///
    /// # Errors
    ///
    /// If the document has a fault; the error lists every fault with its path.
    pub fn parse(text: &str) -> Result<Self, DocumentFaults> {
        Self::try_from(&RawDocument::read(text)?)
    }
}

impl TryFrom<&RawDocument> for Document {
    type Error = DocumentFaults;

    fn try_from(raw: &RawDocument) -> Result<Self, DocumentFaults> {
        let mut reader = Reader::default();
        check_lengths(&mut reader, raw);
        if reader.has_faults() {
            return Err(DocumentFaults {
                faults: reader.into_faults(),
            });
        }
        let document = read_all(&mut reader, raw);
        match reader.into_faults() {
            faults if faults.is_empty() => Ok(document),
            faults => Err(DocumentFaults { faults }),
        }
    }
}

/// Checks that each list has at most as many entries as there are keys.
///
/// Entries beyond the last key cannot be referenced, and looking up their names would panic.
fn check_lengths(reader: &mut Reader, raw: &RawDocument) {
    let lengths = [
        ("failure_domains", raw.failure_domains.len()),
        ("host_classes", raw.host_classes.len()),
        ("models", raw.models.len()),
        ("pools", raw.pools.len()),
        ("latency_classes", raw.latency_classes.len()),
        ("teams", raw.teams.len()),
        ("operators", raw.operators.len()),
    ];
    for (list, length) in lengths {
        reader.length(&FaultPath::root().field(list), length);
    }
}

/// Reads every section of the document.
///
/// A section with a fault contains placeholders; the caller then discards the document.
fn read_all(reader: &mut Reader, raw: &RawDocument) -> Document {
    let root = FaultPath::root();
    let mut document = Document {
        deployment: reader.label(&root.field("deployment"), &raw.deployment),
        measure: parts::measure(reader, &raw.measure),
        failure_domains: parts::failure_domains(reader, &raw.failure_domains),
        host_classes: parts::host_classes(reader, &raw.host_classes),
        models: parts::models(reader, &raw.models),
        pools: Vec::new(),
        latency_classes: parts::latency_classes(reader, &raw.latency_classes),
        teams: Vec::new(),
        operators: parts::operators(reader, &raw.operators),
    };
    document.pools = parts::pools(reader, &raw.pools, &document);
    document.teams = parts::teams(reader, &raw.teams, &document);
    check_tokens(reader, raw);
    check_models_served(reader, raw, &document);
    document
}

/// Checks that each token belongs to only one team or operator.
///
/// Two teams with the same token would be indistinguishable, and a token shared by an operator and
/// a team would allow callers to change the document.
fn check_tokens(reader: &mut Reader, raw: &RawDocument) {
    let teams = raw.teams.iter().enumerate().map(|(index, team)| {
        let path = FaultPath::root().field("teams").index(index);
        (team.token_sha256.display_text(), path.field("token_sha256"))
    });
    let operators = raw.operators.iter().enumerate().map(|(index, operator)| {
        let path = FaultPath::root().field("operators").index(index);
        (
            operator.token_sha256.display_text(),
            path.field("token_sha256"),
        )
    });
    let mut seen: Vec<(String, FaultPath)> = Vec::new();
    for (hash, path) in teams.chain(operators) {
        let hash = hash.to_ascii_lowercase();
        match seen.binary_search_by(|(other, _)| other.cmp(&hash)) {
            _ if hash.is_empty() => {}
            Ok(index) => {
                let earlier = seen[index].1.clone();
                reader.fault(path, FaultKind::DuplicateToken { earlier });
            }
            Err(index) => seen.insert(index, (hash, path)),
        }
    }
}

/// Checks that a pool serves each model; requests for any other model would never be served.
fn check_models_served(reader: &mut Reader, raw: &RawDocument, document: &Document) {
    for (index, model) in raw.models.iter().enumerate() {
        let name = model.name.display_text();
        let is_served = match document.find_model(&name) {
            Some(key) => document.pools.iter().any(|pool| pool.serves(key)),
            None => true,
        };
        if !is_served {
            let path = FaultPath::root().field("models").index(index);
            reader.fault(path, FaultKind::UnservedModel);
        }
    }
}
