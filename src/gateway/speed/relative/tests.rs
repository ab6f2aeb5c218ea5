use super::*;

const GROUP: [u64; 3] = [1, 2, 3];

fn sums(weight: f32, factor: f32) -> Sums {
    let row = SpeedRow {
        upstream: 1,
        weight,
        expected_ms: weight * 100.0,
        took_ms: weight * 100.0 * factor,
    };
    Sums::try_from(row).expect("sums are valid")
}

fn sender(incarnation: u64, scope: Scope, sequence: u64) -> Sender<'static> {
    Sender {
        incarnation,
        scope,
        sequence,
        group: &GROUP,
    }
}

fn weight(speed: &RelativeSpeed) -> f32 {
    speed.total().weight()
}

#[test]
fn later_statement_replaces_the_earlier_one() {
    let mut speed = RelativeSpeed::default();
    speed.apply(&sender(1, Scope::Node, 1), sums(10.0, 2.0));
    speed.apply(&sender(1, Scope::Node, 2), sums(12.0, 2.0));
    assert!((weight(&speed) - 12.0).abs() < 0.01, "{speed:?}");
}

/// Guards against a datagram that was held up, or arrives twice, bringing back old sums.
#[test]
fn late_statement_is_ignored() {
    let mut speed = RelativeSpeed::default();
    speed.apply(&sender(1, Scope::Node, 2), sums(12.0, 2.0));
    speed.apply(&sender(1, Scope::Node, 1), sums(10.0, 0.5));
    speed.apply(&sender(1, Scope::Node, 2), sums(12.0, 2.0));
    assert!((weight(&speed) - 12.0).abs() < 0.01, "{speed:?}");
    assert!(speed.factor() > 1.6, "{speed:?}");
}

/// Guards against counting a group's requests twice after its speaker stopped or died.
#[test]
fn new_speaker_of_a_group_replaces_the_former_one() {
    let mut speed = RelativeSpeed::default();
    speed.apply(&sender(1, Scope::Group, 7), sums(30.0, 2.0));
    speed.apply(&sender(2, Scope::Group, 1), sums(31.0, 2.0));
    assert!((weight(&speed) - 31.0).abs() < 0.01, "{speed:?}");
}

/// Guards against counting requests twice after the groups were divided anew, so that a node of
/// this group is in another one, or the reverse.
#[test]
fn node_that_changes_its_group_counts_once() {
    let mut speed = RelativeSpeed::default();
    speed.apply(&sender(2, Scope::Node, 1), sums(10.0, 2.0));
    speed.apply(&sender(1, Scope::Group, 1), sums(30.0, 2.0));
    assert!((weight(&speed) - 30.0).abs() < 0.01, "{speed:?}");
    speed.apply(&sender(3, Scope::Node, 1), sums(11.0, 2.0));
    assert!((weight(&speed) - 11.0).abs() < 0.01, "{speed:?}");
}

#[test]
fn group_row_sums_the_nodes_of_the_group() {
    let mut speed = RelativeSpeed::default();
    speed.record(100.0, 200.0);
    speed.apply(&sender(2, Scope::Node, 1), sums(10.0, 2.0));
    let other = Sender {
        group: &[8, 9],
        ..sender(9, Scope::Group, 1)
    };
    speed.apply(&other, sums(30.0, 2.0));
    let row = speed.take_row(Scope::Group, &GROUP, 1);
    assert!((row.weight - 11.0).abs() < 0.01, "{row:?}");
    assert_eq!(speed.untold(Scope::Group), 0);
    assert_eq!(speed.untold(Scope::Node), 1);
}

/// Guards against a sender that restarted, or died, being counted for ever.
#[test]
fn sums_of_a_silent_sender_fade() {
    let mut speed = RelativeSpeed::default();
    speed.apply(&sender(1, Scope::Node, 1), sums(100.0, 2.0));
    for _half_life in 0..12 {
        speed.decay(0.5);
    }
    assert!(speed.reports.is_empty());
    assert!((speed.factor() - 1.0).abs() < f64::EPSILON, "{speed:?}");
}

/// Guards against a flood of log lines from an upstream whose speed is near a bound.
#[test]
fn standing_changes_once_and_with_a_margin() {
    let mut speed = RelativeSpeed::default();
    speed.apply(&sender(1, Scope::Node, 1), sums(100.0, 1.6));
    assert_eq!(speed.decay(0.99), Some(Standing::Slower));
    assert_eq!(speed.decay(0.99), None);
    speed.apply(&sender(1, Scope::Node, 2), sums(100.0, 1.4));
    assert_eq!(speed.decay(0.99), None);
    speed.apply(&sender(1, Scope::Node, 3), sums(100.0, 1.1));
    assert_eq!(speed.decay(0.99), Some(Standing::Usual));
    speed.apply(&sender(1, Scope::Node, 4), sums(100.0, 0.5));
    assert_eq!(speed.decay(0.99), Some(Standing::Faster));
}

/// Guards against an upstream that is called no more passing for slow for ever, so that its next slow
/// time is not logged.
#[test]
fn standing_returns_to_usual_once_when_the_requests_fade() {
    let mut speed = RelativeSpeed::default();
    speed.apply(&sender(1, Scope::Node, 1), sums(100.0, 3.0));
    let changes = (0..12).filter_map(|_half_life| speed.decay(0.5));
    let changes: Vec<Standing> = changes.collect();
    assert_eq!(changes, [Standing::Slower, Standing::Usual]);
}

#[test]
fn few_requests_change_no_standing() {
    let mut speed = RelativeSpeed::default();
    speed.apply(&sender(1, Scope::Node, 1), sums(10.0, 4.0));
    assert_eq!(speed.decay(0.99), None);
}
