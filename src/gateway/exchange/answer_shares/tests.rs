use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::*;

const MIB: usize = 1024 * 1024;

const FAULTY: u64 = 1;
const SOUND: u64 = 2;

/// Guards against one upstream whose bodies hold all the memory, so that those of others wait in vain.
#[test]
fn bodies_of_one_upstream_leave_room_for_others() {
    let mut shares = AnswerShares::default();
    for _ in 0..200 {
        let id = shares.enter(FAULTY);
        let mut bytes = MIB / 16;
        while shares.reserve(id, bytes) == Reservation::Granted && bytes < LONGEST_BYTES {
            bytes *= 2;
        }
    }
    for _ in 0..8 {
        let sound = shares.enter(SOUND);
        let reserved = shares.reserve(sound, MIB / 4);
        assert_eq!(
            reserved,
            Reservation::Granted,
            "{}",
            shares.reserved_bytes()
        );
    }
}

/// Guards against several such upstreams.
#[test]
fn bodies_of_several_upstreams_leave_room_for_another() {
    let mut shares = AnswerShares::default();
    for upstream in 10..15 {
        for _ in 0..50 {
            let id = shares.enter(upstream);
            let mut bytes = MIB / 16;
            while shares.reserve(id, bytes) == Reservation::Granted && bytes < LONGEST_BYTES {
                bytes *= 2;
            }
        }
    }
    let sound = shares.enter(SOUND);
    assert_eq!(shares.reserve(sound, MIB / 4), Reservation::Granted);
}

#[test]
fn longest_answer_is_granted_at_once_and_a_second_waits_until_it_leaves() {
    let mut shares = AnswerShares::default();
    let (first, second) = (shares.enter(SOUND), shares.enter(SOUND));
    assert_eq!(shares.reserve(first, LONGEST_BYTES), Reservation::Granted);
    assert_eq!(shares.reserve(second, LONGEST_BYTES), Reservation::Waits);
    assert!(shares.is_waiting(second));
    shares.leave(first);
    assert!(!shares.is_waiting(second));
    shares.leave(second);
    assert_eq!(shares.reserved_bytes(), 0);
}

/// Guards against an upstream whose bodies stop one after the other in the place of the longest answer, while whole ones of others wait.
#[test]
fn upstream_whose_long_answers_do_not_end_goes_on_last() {
    let mut shares = AnswerShares::default();
    let stopped = shares.enter(FAULTY);
    assert_eq!(shares.reserve(stopped, LONGEST_BYTES), Reservation::Granted);
    let next_stopped = shares.enter(FAULTY);
    assert_eq!(
        shares.reserve(next_stopped, LONGEST_BYTES),
        Reservation::Waits
    );
    let sound: Vec<AnswerId> = (0..4).map(|_| shares.enter(SOUND)).collect();
    for id in &sound {
        assert_eq!(shares.reserve(*id, MIB), Reservation::Granted);
    }
    for id in &sound {
        assert_eq!(shares.reserve(*id, 2 * MIB), Reservation::Waits);
    }
    shares.leave(stopped);
    assert!(
        shares.is_waiting(next_stopped),
        "a faulty body goes on first"
    );
    for id in sound {
        assert!(!shares.is_waiting(id), "a sound answer waits for itself");
        shares.record_whole(id);
        shares.leave(id);
    }
    assert!(!shares.is_waiting(next_stopped));
}

/// Guards against an upstream with many bodies that keeps the long answers of others waiting.
#[test]
fn upstream_that_holds_least_goes_on_first() {
    let mut shares = AnswerShares::default();
    let long = shares.enter(FAULTY);
    assert_eq!(shares.reserve(long, LONGEST_BYTES), Reservation::Granted);
    let held = shares.enter(FAULTY);
    assert_eq!(shares.reserve(held, MIB), Reservation::Granted);
    let (of_faulty, of_sound) = (shares.enter(FAULTY), shares.enter(SOUND));
    for id in [of_faulty, of_sound] {
        assert_eq!(shares.reserve(id, LONGEST_BYTES), Reservation::Waits);
    }
    shares.leave(long);
    assert!(shares.is_waiting(of_faulty));
    assert!(!shares.is_waiting(of_sound));
}

/// Guards against answers beyond the bound, and against answers that all wait for one another.
#[test]
fn any_schedule_stays_within_the_bound_and_some_answer_goes_on() {
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut shares = AnswerShares::default();
        let mut open: Vec<(AnswerId, usize)> = Vec::new();
        for _ in 0..400 {
            match rng.random_range(0..8) {
                0 | 1 => open.push((shares.enter(rng.random_range(0..6)), 0)),
                2 if !open.is_empty() => {
                    let (id, _bytes) = open.swap_remove(rng.random_range(0..open.len()));
                    shares.leave(id);
                }
                _ if !open.is_empty() => {
                    let place = rng.random_range(0..open.len());
                    let (id, bytes) = &mut open[place];
                    if !shares.is_waiting(*id) {
                        let more = (rng.random_range(1..MIB) << rng.random_range(0..4)).max(1);
                        *bytes = (*bytes + more).min(LONGEST_BYTES);
                        shares.reserve(*id, *bytes);
                    }
                }
                _ => {}
            }
            assert!(
                shares.reserved_bytes() <= COMMON_BYTES + LONGEST_BYTES,
                "seed {seed}"
            );
            let waits = open.iter().any(|(id, _bytes)| shares.is_waiting(*id));
            let goes_on = shares.longest.is_some_and(|id| !shares.is_waiting(id));
            assert!(!waits || goes_on, "seed {seed}");
        }
        // Each answer that may go on reaches its whole length, and leaves.
        while !open.is_empty() {
            let place = open.iter().position(|(id, _bytes)| {
                !shares.is_waiting(*id)
                    && shares.reserve(*id, LONGEST_BYTES) == Reservation::Granted
            });
            let place = place.unwrap_or_else(|| panic!("seed {seed}: all wait"));
            let (id, _bytes) = open.swap_remove(place);
            shares.leave(id);
        }
        assert_eq!(shares.reserved_bytes(), 0, "seed {seed}");
        assert!(
            shares.bytes_by_upstream.values().all(|bytes| *bytes == 0),
            "seed {seed}"
        );
    }
}
