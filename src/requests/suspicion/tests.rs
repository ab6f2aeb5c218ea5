use super::*;
use crate::requests::TeamTag;
use crate::requests::id::{Draft, IdKey};

fn id(sequence: u32) -> RequestId {
    let draft = Draft {
        issued_at_ms: TimeMs(1),
        home: Incarnation(1),
        witness: Incarnation(2),
        minter: Incarnation(1),
        sequence,
    };
    IdKey::derive(b"a key of these tests").mint(draft, TeamTag::of("pubs"))
}

#[test]
fn content_that_is_sent_again_and_again_is_noted_once() {
    // Symptom: the audit trail drops other entries, or grows without end.
    // Sequence: a caller sends a refused prompt in a loop.
    // Cause: each refusal is an entry.
    let suspicion = Suspicion::new(7);
    let kills = Fingerprint::of(7, "ledger", "a prompt that kills");
    let other = Fingerprint::of(7, "ledger", "another prompt");
    suspicion.note(kills, id(1), Measure::Quarantined);
    for sequence in 2..50 {
        suspicion.note(kills, id(sequence), Measure::Refused);
    }
    suspicion.note(other, id(50), Measure::Refused);
    let noted = [
        (id(1), Measure::Quarantined),
        (id(2), Measure::Refused),
        (id(50), Measure::Refused),
    ];
    assert_eq!(suspicion.take_measures(), noted);
    suspicion.note(kills, id(51), Measure::Refused);
    assert!(suspicion.take_measures().is_empty());
}
