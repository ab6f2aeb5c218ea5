//! The copy of a node that was frozen, when its peers report what they admitted meanwhile.

use super::*;

const RATE_PER_S: f64 = 1_000.0;
const BURST: f64 = 1_000.0;
const PEER: u64 = 2;
const FLEET: FleetVisibility = FleetVisibility { known: 4, heard: 4 };

/// Returns the copy of a node that was frozen from 0 to 3 s, after its peer had reported `before`.
fn frozen(before: f64, seen: FleetVisibility) -> Quotas {
    let team = team(RATE_PER_S, BURST);
    let mut quotas = long_running();
    quotas.set_visibility(FLEET);
    quotas.record_contact(PEER, at(0));
    quotas.record_peer(PEER, &[recent(before)], std::slice::from_ref(&team), at(0));
    quotas.thaw(at(0), at(3_000));
    quotas.set_visibility(seen);
    quotas
}

/// Records the peer's total at the end of the pause.
fn report(quotas: &mut Quotas, total: f64) {
    let team = team(RATE_PER_S, BURST);
    quotas.record_peer(
        PEER,
        &[recent(total)],
        std::slice::from_ref(&team),
        at(3_000),
    );
    quotas.restore_missed(&team, at(3_000));
}

fn level(quotas: &mut Quotas) -> f64 {
    let bucket = quotas.fleet_bucket(&team(RATE_PER_S, BURST), at(3_000));
    bucket.expect("a limit").level
}

/// Guards against a team within its limit that is refused for what the limit gave while a node was frozen.
#[test]
fn refill_of_a_pause_covers_what_peers_admitted_in_it() {
    let mut quotas = frozen(0.0, FLEET);
    report(&mut quotas, 2_700.0);
    let level = level(&mut quotas);
    assert!((level - BURST / 2.0).abs() < 1.0, "{level}");
}

/// Guards against the refill of a pause by the few peers that are heard at its end.
#[test]
fn refill_of_a_pause_does_not_depend_on_who_is_heard_after_it() {
    let alone = FleetVisibility { known: 4, heard: 1 };
    let mut quotas = frozen(BURST, alone);
    report(&mut quotas, BURST + 3_000.0);
    let level = level(&mut quotas);
    assert!(level.abs() < 1.0, "{level}");
}

/// Guards against a team at its limit that gains a burst by the pause of a node.
#[test]
fn team_that_spent_all_refill_of_a_pause_gains_nothing() {
    let mut quotas = frozen(BURST, FLEET);
    report(&mut quotas, BURST + 3_000.0);
    let level = level(&mut quotas);
    assert!(level.abs() < 1.0, "{level}");
}

/// Guards against admissions that are put back twice: as a pause's refill and as leased credit.
#[test]
fn admissions_that_grants_cover_take_nothing_of_a_missed_refill() {
    let team = team(RATE_PER_S, BURST);
    let teams = std::slice::from_ref(&team);
    let mut quotas = frozen(0.0, FLEET);
    quotas.withhold(&team, BURST, at(3_000));
    quotas.record_peer(PEER, &[recent(BURST)], teams, at(3_000));
    quotas.release(&team, BURST, at(3_000));
    quotas.restore_missed(&team, at(3_000));
    assert!(level(&mut quotas).abs() < 1.0, "{}", level(&mut quotas));
}

/// Guards against the refill of a pause that is put back for later admissions again and again.
#[test]
fn missed_refill_is_put_back_once() {
    let mut quotas = frozen(0.0, FLEET);
    for seconds in 1..=6 {
        report(&mut quotas, f64::from(seconds) * RATE_PER_S);
    }
    // A full bucket and three seconds of the rate, less six.
    let level = level(&mut quotas);
    assert!((level + 2.0 * BURST).abs() < 1.0, "{level}");
}

/// Guards against a copy that begins after a pause and deducts all that peers admitted in it.
#[test]
fn copy_that_begins_after_a_pause_has_its_refill() {
    let mut quotas = long_running();
    quotas.set_visibility(FLEET);
    quotas.record_contact(PEER, at(0));
    quotas.thaw(at(0), at(3_000));
    report(&mut quotas, 2_700.0);
    let level = level(&mut quotas);
    assert!((level - BURST / 2.0).abs() < 1.0, "{level}");
}

/// Guards against a refill that is counted again where the copy was refilled before the pause was noticed.
#[test]
fn refill_before_the_pause_is_noticed_is_not_missed() {
    let team = team(RATE_PER_S, BURST);
    let mut quotas = frozen(BURST, FLEET);
    quotas.pause = None;
    assert_eq!(
        quotas
            .fleet_bucket(&team, at(3_000))
            .map(|bucket| bucket.level),
        Some(BURST)
    );
    quotas.thaw(at(0), at(3_000));
    report(&mut quotas, BURST + 3_000.0);
    let level = level(&mut quotas);
    assert!((level + 2.0 * BURST).abs() < 1.0, "{level}");
}
