//! Bounds the volume of log lines by kind, and counts what is left out.
//!
//! Under overload or attack, lines for each request would cost more than the requests. Plain
//! successes are bounded first, so that the lines of failures, which are what one looks for, stay.

/// Lines a second of requests that were answered as they should be.
const SUCCESSES_PER_S: u32 = 60;

/// Lines a second of any other kind.
const OTHERS_PER_S: u32 = 120;

/// The kind of a request that ended well.
pub(super) const SUCCESS: &str = "request_ended/answered";

/// Lines of one kind within one second.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Kind {
    name: String,
    second: u64,
    lines: u32,
    left_out: u64,
}

/// How many lines of each kind have been written in the present second.
#[derive(Debug, Default)]
pub(super) struct Limits {
    /// Sorted by name.
    kinds: Vec<Kind>,
}

impl Limits {
    /// Whether a line of a kind may be written.
    pub fn admit(&mut self, name: &str, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        let found = self
            .kinds
            .binary_search_by(|kind| kind.name.as_str().cmp(name));
        let place = found.unwrap_or_else(|place| {
            let kind = Kind {
                name: name.to_owned(),
                second,
                lines: 0,
                left_out: 0,
            };
            self.kinds.insert(place, kind);
            place
        });
        let kind = &mut self.kinds[place];
        if kind.second != second {
            kind.second = second;
            kind.lines = 0;
        }
        let most = if name == SUCCESS {
            SUCCESSES_PER_S
        } else {
            OTHERS_PER_S
        };
        if kind.lines >= most {
            kind.left_out += 1;
            return false;
        }
        kind.lines += 1;
        true
    }

    /// Takes out how many lines of each kind were left out.
    pub fn take_left_out(&mut self) -> Vec<(String, u64)> {
        let kinds = self.kinds.iter_mut().filter(|kind| kind.left_out > 0);
        kinds
            .map(|kind| (kind.name.clone(), std::mem::take(&mut kind.left_out)))
            .collect()
    }
}

#[cfg(test)]
mod tests;
