//! What a crash may be blamed on: the whole content of a request, or one part of its prompt.

use std::hash::Hasher;

use bincode::{Decode, Encode};
use twox_hash::XxHash3_64;

use crate::gateway::request_head::Prompt;

/// Most parts of a prompt that are judged; further ones are blamed for nothing.
pub(crate) const MAX_PARTS_JUDGED: usize = 8;

/// The bits of a part's subject that do not depend on route and model.
const UPPER_HALF: u64 = 0xffff_ffff_0000_0000;

/// Identifies a content or a part among the nodes.
pub(crate) type Subject = u64;

/// The subjects of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Subjects {
    /// Hash of the request's content.
    pub content: Subject,
    /// Tag of the request's team; bounds what one team can take of the evidence.
    pub team: u64,
    /// The parts that other requests may share, in order; zero where there is none.
    parts: [Subject; MAX_PARTS_JUDGED],
}

impl Subjects {
    #[must_use]
    pub fn new(content: Subject, team: u64, parts: impl IntoIterator<Item = Subject>) -> Self {
        let mut judged = [0; MAX_PARTS_JUDGED];
        for (slot, part) in judged.iter_mut().zip(parts) {
            *slot = part;
        }
        Self {
            content,
            team,
            parts: judged,
        }
    }

    /// Returns the parts in order.
    pub fn parts(&self) -> impl Iterator<Item = Subject> {
        self.parts.into_iter().filter(|part| *part != 0)
    }

    /// Returns the same without parts.
    #[must_use]
    pub fn without_parts(&self) -> Self {
        Self::new(self.content, self.team, [])
    }

    /// Whether one of them is this subject.
    pub fn contains(&self, subject: Subject) -> bool {
        subject != 0 && (self.content == subject || self.parts.contains(&subject))
    }
}

/// Returns the hash of a request's content, which is the same for each retry by any caller.
#[must_use]
pub(crate) fn content_hash(path: &str, key: Option<&str>, body: &[u8]) -> Subject {
    hash(&[path.as_bytes(), key.unwrap_or_default().as_bytes(), body])
}

/// Returns the parts of a prompt that are judged.
///
/// A part is one subject for each team, route and model: no team can have another's blocked, and a
/// part that is bad in one model goes on in the others. The subjects of one part and team have their
/// upper half in common.
pub(crate) fn parts(prompt: &Prompt, team: u64, route: u64) -> impl Iterator<Item = Subject> {
    let model = prompt.model.as_bytes();
    (prompt.shared_parts().iter()).map(move |part| {
        let (team, id) = (team.to_le_bytes(), part.id.to_le_bytes());
        let of_part = hash(&[&team, &id]);
        let of_scope = hash(&[&team, &route.to_le_bytes(), model, &id]);
        (of_part & UPPER_HALF) | (of_scope & !UPPER_HALF)
    })
}

/// Whether two subjects are one part of one team, on other routes or models.
pub(super) fn is_same_part(one: Subject, other: Subject) -> bool {
    one & UPPER_HALF == other & UPPER_HALF
}

fn hash(fields: &[&[u8]]) -> Subject {
    let mut hasher = XxHash3_64::new();
    for field in fields {
        hasher.write_u64(field.len() as u64);
        hasher.write(field);
    }
    hasher.finish()
}

#[cfg(test)]
mod tests;
