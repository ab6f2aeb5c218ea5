//! Validates scalar values and lists, and collects their faults.
//!
//! A placeholder replaces each invalid value, so that validation continues after a fault; a
//! document that contains placeholders is never returned to a caller.

use std::ops::RangeInclusive;

use serde_json::Value;

use crate::document::faults::{Fault, FaultKind, FaultPath, ScalarKind};
use crate::document::hex::from_hex;
use crate::document::raw::Scalar;

/// Maximum length of a name, which fits in a header, a URL segment and a metric label.
const MAX_NAME_BYTES: usize = 64;
/// Maximum length of a display text.
const MAX_LABEL_CHARS: usize = 128;
/// Maximum number of list entries, because keys are 16-bit indexes.
const MAX_ENTRIES: usize = u16::MAX as usize;
/// SHA-256 of the empty string.
const EMPTY_SHA256: [u8; 32] = [
    0xe3, 0xb0, 0xc4, 0x42, 0x98, 0xfc, 0x1c, 0x14, 0x9a, 0xfb, 0xf4, 0xc8, 0x99, 0x6f, 0xb9, 0x24,
    0x27, 0xae, 0x41, 0xe4, 0x64, 0x9b, 0x93, 0x4c, 0xa4, 0x95, 0x99, 0x1b, 0x78, 0x52, 0xb8, 0x55,
];

/// Validates values and collects their faults.
#[derive(Debug, Default)]
pub(super) struct Reader {
    faults: Vec<Fault>,
}

impl Reader {
    /// Returns the collected faults.
    pub fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Returns whether any fault was found.
    pub fn has_faults(&self) -> bool {
        !self.faults.is_empty()
    }

    /// Records a fault.
    pub fn fault(&mut self, path: FaultPath, kind: FaultKind) {
        self.faults.push(Fault { path, kind });
    }

    /// Reads a name that is valid in URLs, headers and metric labels.
    pub fn name(&mut self, path: &FaultPath, value: &Scalar) -> String {
        let text = self.text(path, value);
        if !text.as_deref().is_none_or(is_name) {
            let most_bytes = MAX_NAME_BYTES;
            self.fault(path.clone(), FaultKind::Name { most_bytes });
        }
        text.unwrap_or_default()
    }

    /// Reads a display text.
    pub fn label(&mut self, path: &FaultPath, value: &Scalar) -> String {
        let text = self.text(path, value);
        if !text.as_deref().is_none_or(is_label) {
            let most_chars = MAX_LABEL_CHARS;
            self.fault(path.clone(), FaultKind::Label { most_chars });
        }
        text.unwrap_or_default()
    }

    /// Reads a boolean.
    pub fn boolean(&mut self, path: &FaultPath, value: &Scalar) -> bool {
        match &value.0 {
            Value::Bool(value) => *value,
            other => {
                self.add_type_fault(path, other, ScalarKind::Boolean);
                false
            }
        }
    }

    /// Reads an integer within a range.
    pub fn integer<T>(&mut self, path: &FaultPath, value: &Scalar, range: RangeInclusive<T>) -> T
    where
        T: Copy + Default + PartialOrd + TryFrom<u64> + Into<u64>,
    {
        let (least, most) = (*range.start(), *range.end());
        let out_of_range = FaultKind::OutOfRange {
            least: approximate(least.into()),
            most: approximate(most.into()),
        };
        let number = match &value.0 {
            Value::Number(number) => number,
            other => {
                self.add_type_fault(path, other, ScalarKind::Integer);
                return T::default();
            }
        };
        match number.as_u64().map(T::try_from) {
            Some(Ok(read)) if range.contains(&read) => return read,
            None if number.is_f64() => {
                let expected = ScalarKind::Integer;
                self.fault(path.clone(), FaultKind::WrongKind { expected });
            }
            _ => self.fault(path.clone(), out_of_range),
        }
        T::default()
    }

    /// Reads a finite number within a range.
    pub fn number(&mut self, path: &FaultPath, value: &Scalar, range: RangeInclusive<f64>) -> f64 {
        let read = match &value.0 {
            Value::Number(number) => number.as_f64().unwrap_or(f64::NAN),
            other => {
                self.add_type_fault(path, other, ScalarKind::Number);
                return 0.0;
            }
        };
        if !range.contains(&read) {
            let (least, most) = range.into_inner();
            self.fault(path.clone(), FaultKind::OutOfRange { least, most });
        }
        read
    }

    /// Reads the SHA-256 hash of a token as hexadecimal text.
    pub fn token_sha256(&mut self, path: &FaultPath, value: &Scalar) -> [u8; 32] {
        let Some(text) = self.text(path, value) else {
            return [0; 32];
        };
        match from_hex(&text).and_then(|bytes| bytes.try_into().ok()) {
            None => self.fault(path.clone(), FaultKind::TokenHash),
            Some(EMPTY_SHA256) => self.fault(path.clone(), FaultKind::EmptyToken),
            Some(hash) => return hash,
        }
        [0; 32]
    }

    /// Checks that a list has at most as many entries as there are keys.
    pub fn length(&mut self, path: &FaultPath, count: usize) {
        if count > MAX_ENTRIES {
            let most = MAX_ENTRIES;
            self.fault(path.clone(), FaultKind::TooMany { most });
        }
    }

    /// Checks that a list has at least one entry.
    pub fn not_empty(&mut self, path: &FaultPath, count: usize) {
        if count == 0 {
            self.fault(path.clone(), FaultKind::Empty);
        }
    }

    /// Checks that each name occurs only once in its list.
    pub fn unique_names<'a>(&mut self, list: &FaultPath, names: impl Iterator<Item = &'a Scalar>) {
        for (index, first) in find_duplicates(names) {
            let earlier = list.index(first);
            let path = list.index(index).field("name");
            self.fault(path, FaultKind::DuplicateName { earlier });
        }
    }

    /// Resolves references by name to keys in key order; each may occur only once in its list.
    pub fn references<K: Ord>(
        &mut self,
        path: &FaultPath,
        names: &[Scalar],
        list: &'static str,
        find: impl Fn(&str) -> Option<K>,
    ) -> Vec<K> {
        self.not_empty(path, names.len());
        for (index, first) in find_duplicates(names.iter()) {
            let earlier = path.index(first);
            self.fault(path.index(index), FaultKind::DuplicateReference { earlier });
        }
        let mut keys: Vec<K> = Vec::with_capacity(names.len());
        for (index, name) in names.iter().enumerate() {
            keys.extend(self.reference(&path.index(index), name, list, &find));
        }
        keys.sort();
        keys
    }

    /// Resolves one reference by name to its key.
    pub fn reference<K>(
        &mut self,
        path: &FaultPath,
        name: &Scalar,
        list: &'static str,
        find: impl Fn(&str) -> Option<K>,
    ) -> Option<K> {
        let found = find(&self.text(path, name)?);
        if found.is_none() {
            self.fault(path.clone(), FaultKind::UnknownReference { list });
        }
        found
    }

    fn text(&mut self, path: &FaultPath, value: &Scalar) -> Option<String> {
        match &value.0 {
            Value::String(text) => Some(text.clone()),
            other => {
                self.add_type_fault(path, other, ScalarKind::Text);
                None
            }
        }
    }

    fn add_type_fault(&mut self, path: &FaultPath, value: &Value, expected: ScalarKind) {
        let kind = match value {
            Value::Null => FaultKind::Missing { expected },
            _ => FaultKind::WrongKind { expected },
        };
        self.fault(path.clone(), kind);
    }
}

/// Returns the index of each repeated text with the index of its first occurrence.
pub(super) fn find_duplicates<'a>(values: impl Iterator<Item = &'a Scalar>) -> Vec<(usize, usize)> {
    let mut seen: Vec<(&str, usize)> = Vec::new();
    let mut duplicates = Vec::new();
    let texts = values.map(|value| value.0.as_str());
    for (index, text) in texts.enumerate() {
        let Some(text) = text else { continue };
        match seen.binary_search_by(|(other, _)| (*other).cmp(text)) {
            Ok(found) => duplicates.push((index, seen[found].1)),
            Err(position) => seen.insert(position, (text, index)),
        }
    }
    duplicates
}

fn is_name(text: &str) -> bool {
    let allowed = |byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'_' | b'-');
    let has_valid_start = (text.bytes().next()).is_some_and(|byte| byte.is_ascii_alphanumeric());
    has_valid_start && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

fn is_label(text: &str) -> bool {
    let length = text.chars().count();
    let is_printable = !text.chars().any(char::is_control);
    is_printable && length <= MAX_LABEL_CHARS && !text.trim().is_empty()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a bound that is only displayed may be rounded"
)]
fn approximate(bound: u64) -> f64 {
    bound as f64
}
