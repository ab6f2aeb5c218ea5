//! Reads single values and collects what is wrong with them.
//!
//! A value with a fault is replaced by a placeholder so that reading can go on; the document it
//! stands in is never handed out.

use std::ops::RangeInclusive;

use serde_json::Value;

use crate::document::faults::{Fault, FaultKind, FaultPath, ScalarKind};
use crate::document::hex::from_hex;
use crate::document::raw::Scalar;

/// The longest name, in bytes; it fits a header, a URL segment and a metric label.
const MOST_NAME_BYTES: usize = 64;
/// The longest text for people.
const MOST_LABEL_CHARS: usize = 128;
/// The longest list: its positions are keys of 16 bits.
const MOST_ENTRIES: usize = u16::MAX as usize;
/// SHA-256 of nothing.
const EMPTY_SHA256: [u8; 32] = [
    0xe3, 0xb0, 0xc4, 0x42, 0x98, 0xfc, 0x1c, 0x14, 0x9a, 0xfb, 0xf4, 0xc8, 0x99, 0x6f, 0xb9, 0x24,
    0x27, 0xae, 0x41, 0xe4, 0x64, 0x9b, 0x93, 0x4c, 0xa4, 0x95, 0x99, 0x1b, 0x78, 0x52, 0xb8, 0x55,
];

/// Collects faults while values are read.
#[derive(Debug, Default)]
pub(super) struct Reader {
    faults: Vec<Fault>,
}

impl Reader {
    /// The faults found.
    pub fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Whether there are any.
    pub fn has_faults(&self) -> bool {
        !self.faults.is_empty()
    }

    /// Notes a fault.
    pub fn fault(&mut self, path: FaultPath, kind: FaultKind) {
        self.faults.push(Fault { path, kind });
    }

    /// A name that URLs, headers and metrics can carry.
    pub fn name(&mut self, path: &FaultPath, value: &Scalar) -> String {
        let text = self.text(path, value);
        if !text.as_deref().is_none_or(is_name) {
            let most_bytes = MOST_NAME_BYTES;
            self.fault(path.clone(), FaultKind::Name { most_bytes });
        }
        text.unwrap_or_default()
    }

    /// A text for people.
    pub fn label(&mut self, path: &FaultPath, value: &Scalar) -> String {
        let text = self.text(path, value);
        if !text.as_deref().is_none_or(is_label) {
            let most_chars = MOST_LABEL_CHARS;
            self.fault(path.clone(), FaultKind::Label { most_chars });
        }
        text.unwrap_or_default()
    }

    /// True or false.
    pub fn boolean(&mut self, path: &FaultPath, value: &Scalar) -> bool {
        match &value.0 {
            Value::Bool(value) => *value,
            other => {
                self.not_a(path, other, ScalarKind::Boolean);
                false
            }
        }
    }

    /// A whole number within bounds.
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
                self.not_a(path, other, ScalarKind::Integer);
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

    /// Any finite number within bounds.
    pub fn number(&mut self, path: &FaultPath, value: &Scalar, range: RangeInclusive<f64>) -> f64 {
        let read = match &value.0 {
            Value::Number(number) => number.as_f64().unwrap_or(f64::NAN),
            other => {
                self.not_a(path, other, ScalarKind::Number);
                return 0.0;
            }
        };
        if !range.contains(&read) {
            let (least, most) = range.into_inner();
            self.fault(path.clone(), FaultKind::OutOfRange { least, most });
        }
        read
    }

    /// SHA-256 of a token.
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

    /// A list with no more entries than there are keys.
    pub fn length(&mut self, path: &FaultPath, count: usize) {
        if count > MOST_ENTRIES {
            let most = MOST_ENTRIES;
            self.fault(path.clone(), FaultKind::TooMany { most });
        }
    }

    /// A list with an entry at least.
    pub fn not_empty(&mut self, path: &FaultPath, count: usize) {
        if count == 0 {
            self.fault(path.clone(), FaultKind::Empty);
        }
    }

    /// Names that each stand once in their list.
    pub fn unique_names<'a>(&mut self, list: &FaultPath, names: impl Iterator<Item = &'a Scalar>) {
        for (index, first) in repeats(names) {
            let earlier = list.index(first);
            let path = list.index(index).field("name");
            self.fault(path, FaultKind::DuplicateName { earlier });
        }
    }

    /// References by name, resolved, in key order; each stands once in its list.
    pub fn references<K: Ord>(
        &mut self,
        path: &FaultPath,
        names: &[Scalar],
        list: &'static str,
        find: impl Fn(&str) -> Option<K>,
    ) -> Vec<K> {
        self.not_empty(path, names.len());
        for (index, first) in repeats(names.iter()) {
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

    /// One reference by name, resolved.
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
                self.not_a(path, other, ScalarKind::Text);
                None
            }
        }
    }

    fn not_a(&mut self, path: &FaultPath, value: &Value, expected: ScalarKind) {
        let kind = match value {
            Value::Null => FaultKind::Missing { expected },
            _ => FaultKind::WrongKind { expected },
        };
        self.fault(path.clone(), kind);
    }
}

/// Positions whose text stands earlier in the list, each with the earlier position.
pub(super) fn repeats<'a>(values: impl Iterator<Item = &'a Scalar>) -> Vec<(usize, usize)> {
    let mut seen: Vec<(&str, usize)> = Vec::new();
    let mut repeated = Vec::new();
    let texts = values.map(|value| value.0.as_str());
    for (index, text) in texts.enumerate() {
        let Some(text) = text else { continue };
        match seen.binary_search_by(|(held, _)| (*held).cmp(text)) {
            Ok(found) => repeated.push((index, seen[found].1)),
            Err(place) => seen.insert(place, (text, index)),
        }
    }
    repeated
}

fn is_name(text: &str) -> bool {
    let allowed = |byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'_' | b'-');
    let begins_well = (text.bytes().next()).is_some_and(|byte| byte.is_ascii_alphanumeric());
    begins_well && text.len() <= MOST_NAME_BYTES && text.bytes().all(allowed)
}

fn is_label(text: &str) -> bool {
    let length = text.chars().count();
    let printable = !text.chars().any(char::is_control);
    printable && length <= MOST_LABEL_CHARS && !text.trim().is_empty()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a bound that is shown to people may be rounded"
)]
fn approximate(bound: u64) -> f64 {
    bound as f64
}
