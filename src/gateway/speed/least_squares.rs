//! Fits a linear model online: recursive least squares with exponential forgetting.

/// Forgetting factor: about the last 300 observations count.
const FORGETTING_FACTOR: f64 = 0.997;

/// Residuals are clipped at this multiple of their mean absolute value, so that a stalled request
/// does not count as a slow engine.
const RESIDUAL_CLIP_FACTOR: f64 = 3.0;

/// Weight of the newest residual in their mean absolute value.
const RESIDUAL_WEIGHT: f64 = 0.05;

/// Prior of a coefficient, and its bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Prior {
    pub mean: f64,
    pub deviation: f64,
    pub min: f64,
    pub max: f64,
}

/// A linear model with `N` coefficients.
#[derive(Clone, Debug)]
pub(crate) struct RecursiveLeastSquares<const N: usize> {
    priors: [Prior; N],
    coefficients: [f64; N],
    /// Covariance of the coefficients, in units of the observations' variance.
    covariance: [[f64; N]; N],
    mean_abs_residual: f64,
    count: u64,
}

impl<const N: usize> RecursiveLeastSquares<N> {
    /// Creates a model from its priors; `noise` is the typical absolute residual.
    #[must_use]
    pub fn new(priors: [Prior; N], noise: f64) -> Self {
        let mut covariance = [[0.0; N]; N];
        for (index, prior) in priors.iter().enumerate() {
            covariance[index][index] = (prior.deviation / noise).powi(2);
        }
        Self {
            priors,
            coefficients: priors.map(|prior| prior.mean),
            covariance,
            mean_abs_residual: noise,
            count: 0,
        }
    }

    /// Returns the model's prediction for `inputs`.
    pub fn predict(&self, inputs: [f64; N]) -> f64 {
        let products = inputs.iter().zip(self.coefficients());
        products
            .map(|(input, coefficient)| input * coefficient)
            .sum()
    }

    /// Updates the model with an observation; ignores one with a value that is not finite.
    pub fn observe(&mut self, inputs: [f64; N], observed: f64) {
        if !observed.is_finite() || inputs.iter().any(|input| !input.is_finite()) {
            log::debug!(observed; "ignored an observation that is not finite");
            return;
        }
        let residual = observed - self.predict(inputs);
        let max = RESIDUAL_CLIP_FACTOR * self.mean_abs_residual.max(f64::MIN_POSITIVE);
        let residual = residual.clamp(-max, max);
        self.mean_abs_residual += RESIDUAL_WEIGHT * (residual.abs() - self.mean_abs_residual);
        self.count += 1;
        let mut gain = [0.0; N];
        for (row, gain) in self.covariance.iter().zip(&mut gain) {
            *gain = row
                .iter()
                .zip(inputs)
                .map(|(entry, input)| entry * input)
                .sum();
        }
        let input_variance: f64 = gain
            .iter()
            .zip(inputs)
            .map(|(gain, input)| gain * input)
            .sum();
        let scale = FORGETTING_FACTOR + input_variance;
        let coefficients = self.coefficients.iter_mut().zip(&self.priors).zip(&gain);
        for ((coefficient, prior), gain) in coefficients {
            let next = *coefficient + gain / scale * residual;
            *coefficient = next.clamp(prior.min, prior.max);
        }
        for (row, row_gain) in self.covariance.iter_mut().zip(&gain) {
            for (entry, column_gain) in row.iter_mut().zip(&gain) {
                *entry = (*entry - row_gain * column_gain / scale) / FORGETTING_FACTOR;
            }
        }
        self.bound_covariance();
    }

    /// Caps the variances, so that those of coefficients without observations do not grow without
    /// bound.
    fn bound_covariance(&mut self) {
        for index in 0..N {
            let max = self.priors[index].deviation.powi(2);
            let entry = self.covariance[index][index];
            if entry > max {
                let scale = (max / entry).sqrt();
                for other in 0..N {
                    self.covariance[index][other] *= scale;
                    self.covariance[other][index] *= scale;
                }
            }
        }
    }

    /// Returns the current estimates of the coefficients.
    pub fn coefficients(&self) -> [f64; N] {
        self.coefficients
    }

    /// Returns the number of observations.
    pub fn count(&self) -> u64 {
        self.count
    }
}
