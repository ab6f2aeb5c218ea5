//! Properties of the split.

use proptest::prelude::*;

use super::{Claim, split};

const SLIGHT: f64 = 1e-6;

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let claim = (0.1_f64..10.0, 0.0_f64..200.0);
    let claim = claim.prop_map(|(weight, demand)| Claim { weight, demand });
    proptest::collection::vec(claim, 1..12)
}

proptest! {
    #[test]
    fn the_capacity_is_used_and_not_exceeded(capacity in 0.0_f64..500.0, claims in claims()) {
        let shares = split(capacity, &claims).shares;
        let used: f64 = shares.iter().sum();
        let wanted: f64 = claims.iter().map(|claim| claim.demand).sum();
        prop_assert!((used - capacity.min(wanted)).abs() < SLIGHT);
        for (share, claim) in shares.iter().zip(&claims) {
            prop_assert!(*share <= claim.demand + SLIGHT);
        }
    }

    // Whoever is left wanting has at least as much for its weight as anybody else.
    #[test]
    fn nobody_who_wants_more_has_less_for_its_weight(
        capacity in 0.0_f64..500.0,
        claims in claims(),
    ) {
        let shares = split(capacity, &claims).shares;
        for (share, claim) in shares.iter().zip(&claims) {
            if *share + SLIGHT < claim.demand {
                for (other_share, other) in shares.iter().zip(&claims) {
                    let slight = SLIGHT / claim.weight.min(other.weight);
                    prop_assert!(other_share / other.weight <= share / claim.weight + slight);
                }
            }
        }
    }
}
