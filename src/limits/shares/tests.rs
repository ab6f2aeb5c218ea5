//! Property tests of the split.

use proptest::prelude::*;

use super::{ShareClaim, max_min_split};

const TOLERANCE: f64 = 1e-6;

fn claims() -> impl Strategy<Value = Vec<ShareClaim>> {
    let claim = (0.1_f64..10.0, 0.0_f64..200.0);
    let claim = claim.prop_map(|(weight, demand)| ShareClaim { weight, demand });
    proptest::collection::vec(claim, 1..12)
}

proptest! {
    #[test]
    fn capacity_is_used_and_not_exceeded(capacity in 0.0_f64..500.0, claims in claims()) {
        let shares = max_min_split(capacity, &claims).shares;
        let used: f64 = shares.iter().sum();
        let wanted: f64 = claims.iter().map(|claim| claim.demand).sum();
        prop_assert!((used - capacity.min(wanted)).abs() < TOLERANCE);
        for (share, claim) in shares.iter().zip(&claims) {
            prop_assert!(*share <= claim.demand + TOLERANCE);
        }
    }

    // A claim whose demand is not met has at least as large a share per weight as any other claim.
    #[test]
    fn unsatisfied_claim_has_the_largest_share_per_weight(
        capacity in 0.0_f64..500.0,
        claims in claims(),
    ) {
        let shares = max_min_split(capacity, &claims).shares;
        for (share, claim) in shares.iter().zip(&claims) {
            if *share + TOLERANCE < claim.demand {
                for (other_share, other) in shares.iter().zip(&claims) {
                    let tolerance = TOLERANCE / claim.weight.min(other.weight);
                    prop_assert!(other_share / other.weight <= share / claim.weight + tolerance);
                }
            }
        }
    }
}
