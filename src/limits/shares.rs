//! Weighted max-min fair shares.

/// One that shares in a capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Its part relative to the others.
    pub weight: f64,
    /// The most that it can use.
    pub demand: f64,
}

/// A capacity that has been split.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// What each claim gets.
    pub shares: Vec<f64>,
    /// What those whose demand is not met get for each unit of weight; with every demand met, what
    /// is left over.
    pub level: f64,
}

/// Splits a capacity: nobody gets more than it can use, and what one leaves goes to the others by
/// weight.
#[must_use]
pub fn split(capacity: f64, claims: &[Claim]) -> Split {
    let mut order: Vec<_> = (0..claims.len()).collect();
    // Those who are satisfied soonest come first, so that what they leave is known for the rest.
    let need = |index: &usize| claims[*index].demand / claims[*index].weight;
    order.sort_by(|left, right| need(left).total_cmp(&need(right)));
    let mut shares = vec![0.0; claims.len()];
    let mut left = capacity.max(0.0);
    let mut weight_left: f64 = claims.iter().map(|claim| claim.weight).sum();
    let mut level = f64::INFINITY;
    for index in order {
        let claim = claims[index];
        let fair = left * claim.weight / weight_left.max(f64::MIN_POSITIVE);
        if claim.demand > fair {
            level = level.min(left / weight_left.max(f64::MIN_POSITIVE));
        }
        let share = fair.min(claim.demand).max(0.0);
        shares[index] = share;
        left -= share;
        weight_left -= claim.weight;
    }
    let level = if level.is_finite() { level } else { left };
    Split { shares, level }
}

#[cfg(test)]
mod tests;
