//! Splits a capacity by weighted max-min fairness.

/// A claim on a part of the capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareClaim {
    /// Weight of the claim relative to the others.
    pub weight: f64,
    /// Maximum that the claim can use.
    pub demand: f64,
}

/// The result of a split.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// Share of each claim.
    pub shares: Vec<f64>,
    /// Share per unit of weight of the claims whose demand is not met; if all demand is met, the
    /// unused capacity.
    pub level: f64,
}

/// Splits a capacity by weight.
///
/// No claim gets more than its demand; what it leaves goes to the other claims by weight.
#[must_use]
pub fn max_min_split(capacity: f64, claims: &[ShareClaim]) -> Split {
    let mut order: Vec<_> = (0..claims.len()).collect();
    // Claims that are satisfied at the lowest level come first, so that what they leave is known
    // for the rest.
    let saturation_level = |index: &usize| claims[*index].demand / claims[*index].weight;
    order.sort_by(|left, right| saturation_level(left).total_cmp(&saturation_level(right)));
    let mut shares = vec![0.0; claims.len()];
    let mut remaining = capacity.max(0.0);
    let mut remaining_weight: f64 = claims.iter().map(|claim| claim.weight).sum();
    let mut level = f64::INFINITY;
    for index in order {
        let claim = claims[index];
        let fair_share = remaining * claim.weight / remaining_weight.max(f64::MIN_POSITIVE);
        if claim.demand > fair_share {
            level = level.min(remaining / remaining_weight.max(f64::MIN_POSITIVE));
        }
        let share = fair_share.min(claim.demand).max(0.0);
        shares[index] = share;
        remaining -= share;
        remaining_weight -= claim.weight;
    }
    let level = if level.is_finite() { level } else { remaining };
    Split { shares, level }
}

#[cfg(test)]
mod tests;
