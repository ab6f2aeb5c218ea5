use super::*;

/// A position in the history of a store that was never restored from a backup.
pub(crate) fn at(offset: u64) -> LogPosition {
    LogPosition { era: 0, offset }
}

#[test]
fn positions_of_a_later_era_are_newer_and_have_higher_numbers() {
    let place = |era, offset| LogPosition { era, offset };
    let places = [
        place(0, 7),
        place(1, 0),
        place(1, 1),
        place(1, 90),
        place(2, 3),
    ];
    assert!(places.is_sorted());
    let numbers = places.map(LogPosition::number);
    assert!(numbers.is_sorted());
    assert_eq!(numbers[0], 7);
}

#[test]
fn following_positions_have_consecutive_offsets() {
    let from = LogPosition { era: 2, offset: 7 };
    let following: Vec<u64> = from.following().take(3).map(|place| place.offset).collect();
    assert_eq!(following, [7, 8, 9]);
    assert_eq!(from.after(3).era, 2);
}
