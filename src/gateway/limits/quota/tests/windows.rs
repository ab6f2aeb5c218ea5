//! Use of a limit within each of the operators' windows.

use proptest::prelude::*;

use super::*;

/// A window of eight seconds with a tolerance of 10% and another 1,000 units.
const WINDOW: LimitWindow = LimitWindow {
    window_ms: 8_000,
    overshoot: 0.1,
    slack: 1_000.0,
};

/// Returns the times, in ms, at which a long-running node admits one of the requests.
///
/// The team sends a request of `cost` each `every_ms`.
fn admission_times_ms(
    window: Option<LimitWindow>,
    cost: f64,
    every_ms: u64,
    total_ms: u64,
) -> Vec<u64> {
    let team = team(1_000.0, 2_000.0);
    let mut quotas = Quotas::new(window, 1, TimeMs(0));
    let asked = (0..total_ms / every_ms).map(|place| place * every_ms);
    asked
        .filter(|ms| quotas.admit(&team, cost, ALL, at(*ms)) == Admission::Admitted)
        .collect()
}

/// Guards against rejecting, for tens of seconds, a team within its limit in each window.
///
/// The team exceeds its rate by a tenth for longer than a window. A window allows the burst beside
/// the rate, so the bucket must be refilled faster than the rate alone.
#[test]
fn team_slightly_above_its_rate_is_admitted() {
    // 55 units each 50 ms: 1,100 a second, 8,800 a window of the 10,000 that the limit allows.
    let served = admission_times_ms(Some(WINDOW), 55.0, 50, 60_000).len();
    assert_eq!(served, 1_200, "every request is admitted");
    let by_rate_alone = admission_times_ms(None, 55.0, 50, 60_000).len();
    assert!(by_rate_alone < 1_150, "{by_rate_alone}");
}

proptest! {
    /// Guards against a window whose usage exceeds the limit and its tolerance.
    ///
    /// Requests of any size arrive in any pattern. A bucket sized for the mean load would exceed
    /// the limit in the worst window.
    #[test]
    fn no_window_exceeds_the_limit_by_more_than_half_the_tolerance(
        asked in proptest::collection::vec((0_u64..400, 1.0_f64..300.0), 1..400),
    ) {
        let team = team(1_000.0, 2_000.0);
        let mut quotas = Quotas::new(Some(WINDOW), 1, TimeMs(0));
        let mut now_ms = 0;
        let mut admitted: Vec<(u64, f64)> = Vec::new();
        for (pause_ms, cost) in asked {
            now_ms += pause_ms;
            if quotas.admit(&team, cost, ALL, at(now_ms)) == Admission::Admitted {
                admitted.push((now_ms, cost));
            }
        }
        let limit = 1_000.0 * 8.0 + 2_000.0;
        let tolerance = limit * WINDOW.overshoot + WINDOW.slack;
        for (start_ms, _cost) in &admitted {
            let window = admitted.iter().filter(|(ms, _cost)| (*start_ms..start_ms + 8_000).contains(ms));
            let used: f64 = window.map(|(_ms, cost)| cost).sum();
            // The last admitted request may take the bucket below zero by its cost.
            prop_assert!(used <= limit + tolerance * 0.5 + 300.0, "{}", used);
        }
    }
}
