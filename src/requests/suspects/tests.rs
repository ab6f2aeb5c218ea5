use super::*;
use crate::requests::TeamTag;
use crate::requests::id::{IdFields, IdKey};

fn id(sequence: u32) -> RequestId {
    let draft = IdFields {
        issued_at_ms: TimeMs(1),
        home: Incarnation(1),
        witness: Incarnation(2),
        minter: Incarnation(1),
        sequence,
    };
    IdKey::derive(b"a key of these tests").mint(draft, TeamTag::of("pubs"))
}

#[test]
fn measure_against_repeated_content_is_recorded_once() {
    // Guards against one audit entry for each refusal: a caller sends a refused prompt in a loop,
    // and the audit trail would drop other entries or grow without bound.
    let suspicion = Suspicion::new(7);
    let crashing = Fingerprint::of(7, "ledger", "a prompt that kills");
    let other = Fingerprint::of(7, "ledger", "another prompt");
    suspicion.record_measure(crashing, id(1), Measure::Quarantined);
    for sequence in 2..50 {
        suspicion.record_measure(crashing, id(sequence), Measure::Refused);
    }
    suspicion.record_measure(other, id(50), Measure::Refused);
    let recorded = [
        (id(1), Measure::Quarantined),
        (id(2), Measure::Refused),
        (id(50), Measure::Refused),
    ];
    assert_eq!(suspicion.take_measures(), recorded);
    suspicion.record_measure(crashing, id(51), Measure::Refused);
    assert!(suspicion.take_measures().is_empty());
}
