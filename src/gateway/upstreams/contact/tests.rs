use super::*;

/// Guards against an upstream that counts as silent after it has gone on.
#[test]
fn silence_ends_with_the_next_sign_of_life() {
    let contact = Contact::default();
    assert!(!contact.is_silent());
    contact.record_heard(TimeMs(100));
    contact.record_silent(TimeMs(1_300));
    assert!(contact.is_silent());
    assert!(!contact.is_heard_since(TimeMs(100)));
    contact.record_heard(TimeMs(1_400));
    assert!(!contact.is_silent());
    assert!(contact.is_heard_since(TimeMs(1_300)));
}

/// Guards against an event that is recorded late and hides a newer one.
#[test]
fn older_sign_of_life_does_not_replace_a_newer_one() {
    let contact = Contact::default();
    contact.record_heard(TimeMs(500));
    contact.record_heard(TimeMs(400));
    assert!(contact.is_heard_since(TimeMs(450)));
}
