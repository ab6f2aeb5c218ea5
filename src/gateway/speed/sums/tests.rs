use super::*;

fn row(weight: f32, expected_ms: f32, took_ms: f32) -> SpeedRow {
    SpeedRow {
        upstream: 1,
        weight,
        expected_ms,
        took_ms,
    }
}

/// Guards against a faulty or forged datagram that spoils the speed of an upstream on all nodes.
#[test]
fn absurd_rows_of_a_peer_are_invalid() {
    let absurd = [
        row(f32::NAN, 100.0, 100.0),
        row(1.0, f32::NAN, 100.0),
        row(1.0, 100.0, f32::NAN),
        row(f32::INFINITY, 100.0, 100.0),
        row(1.0, f32::INFINITY, f32::INFINITY),
        row(-1.0, -100.0, -100.0),
        row(1.0, 100.0, -100.0),
        row(0.0, 100.0, 100.0),
        row(1.0, 0.0, 0.0),
        row(1.0, 100.0, 1_000.0),
        row(1.0, 100.0, 1.0),
        row(1.0e9, 1.0e11, 1.0e11),
        row(1.0, 1.0e9, 1.0e9),
    ];
    for row in absurd {
        assert_eq!(Sums::try_from(row), Err(InvalidSums), "{row:?}");
    }
    Sums::try_from(row(10.0, 1_000.0, 2_000.0)).expect("sums are valid");
}

/// Guards against dropping the rows of sound peers whose sums lie at a bound and were rounded.
#[test]
fn row_of_any_recorded_sums_is_valid() {
    for took_ms in [0.0, 33.0, 1.0e9] {
        let mut sums = Sums::default();
        for request in 0..500 {
            sums.record(f64::from(request % 7) * 31.7 + 0.1, took_ms);
            sums.decay(0.993);
        }
        Sums::try_from(sums.row(1)).expect("recorded sums are valid");
    }
}

#[test]
fn factor_of_few_requests_stays_near_the_pool() {
    let mut sums = Sums::default();
    assert!((sums.time_factor() - 1.0).abs() < f64::EPSILON);
    sums.record(100.0, 200.0);
    assert!(sums.time_factor() < 1.2, "{sums:?}");
    for _request in 0..99 {
        sums.record(100.0, 200.0);
    }
    assert!(sums.time_factor() > 1.9, "{sums:?}");
}

/// Guards against one request that is stalled for seconds passing for a slow engine.
#[test]
fn stalled_request_hardly_moves_the_factor() {
    let mut sums = Sums::default();
    for _request in 0..40 {
        sums.record(100.0, 100.0);
    }
    sums.record(100.0, 30_000.0);
    assert!(sums.time_factor() < 1.1, "{sums:?}");
}

#[test]
fn request_without_an_expected_time_is_left_out() {
    let mut sums = Sums::default();
    for (expected_ms, took_ms) in [(0.0, 5.0), (f64::NAN, 5.0), (-3.0, 5.0), (5.0, f64::NAN)] {
        sums.record(expected_ms, took_ms);
    }
    assert_eq!(sums, Sums::default());
}
