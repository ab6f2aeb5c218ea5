//! A linear model that is fitted as observations come: recursive least squares that forgets.

/// Weight of an observation against the next one: about the last 300 count.
const KEPT_PART: f64 = 0.997;

/// An error beyond this many usual ones counts as this many: a stalled request is not a slow engine.
const MOST_ERRORS: f64 = 3.0;

/// Weight of the newest error in the usual one.
const NEWEST_WEIGHT: f64 = 0.05;

/// What is known of a coefficient before anything is observed, and where it can lie.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Prior {
    pub mean: f64,
    pub deviation: f64,
    pub least: f64,
    pub most: f64,
}

/// A model with `N` coefficients.
#[derive(Clone, Debug)]
pub(crate) struct Fit<const N: usize> {
    priors: [Prior; N],
    coefficients: [f64; N],
    /// Covariance of the coefficients, in units of the observations' variance.
    covariance: [[f64; N]; N],
    usual_error: f64,
    count: u64,
}

impl<const N: usize> Fit<N> {
    /// A model that knows its priors; `noise` is how far observations lie from it.
    #[must_use]
    pub fn new(priors: [Prior; N], noise: f64) -> Self {
        let mut covariance = [[0.0; N]; N];
        for (place, prior) in priors.iter().enumerate() {
            covariance[place][place] = (prior.deviation / noise).powi(2);
        }
        Self {
            priors,
            coefficients: priors.map(|prior| prior.mean),
            covariance,
            usual_error: noise,
            count: 0,
        }
    }

    /// What the model expects for some inputs.
    pub fn expected(&self, inputs: [f64; N]) -> f64 {
        let products = inputs.iter().zip(self.coefficients());
        products
            .map(|(input, coefficient)| input * coefficient)
            .sum()
    }

    /// Takes in an observation; what is no number is passed over.
    pub fn note(&mut self, inputs: [f64; N], observed: f64) {
        if !observed.is_finite() || inputs.iter().any(|input| !input.is_finite()) {
            log::debug!(observed; "an observation that is no number is not learned from");
            return;
        }
        let error = observed - self.expected(inputs);
        let most = MOST_ERRORS * self.usual_error.max(f64::MIN_POSITIVE);
        let error = error.clamp(-most, most);
        self.usual_error += NEWEST_WEIGHT * (error.abs() - self.usual_error);
        self.count += 1;
        let mut gain = [0.0; N];
        for (row, gain) in self.covariance.iter().zip(&mut gain) {
            *gain = row
                .iter()
                .zip(inputs)
                .map(|(entry, input)| entry * input)
                .sum();
        }
        let spread: f64 = gain
            .iter()
            .zip(inputs)
            .map(|(gain, input)| gain * input)
            .sum();
        let scale = KEPT_PART + spread;
        let rows = self.coefficients.iter_mut().zip(&self.priors).zip(&gain);
        for ((coefficient, prior), gain) in rows {
            let next = *coefficient + gain / scale * error;
            *coefficient = next.clamp(prior.least, prior.most);
        }
        for (row, row_gain) in self.covariance.iter_mut().zip(&gain) {
            for (entry, column_gain) in row.iter_mut().zip(&gain) {
                *entry = (*entry - row_gain * column_gain / scale) / KEPT_PART;
            }
        }
        self.bound_covariance();
    }

    /// Keeps what is not observed for long from being forgotten without end.
    fn bound_covariance(&mut self) {
        for place in 0..N {
            let most = self.priors[place].deviation.powi(2);
            let entry = self.covariance[place][place];
            if entry > most {
                let part = (most / entry).sqrt();
                for other in 0..N {
                    self.covariance[place][other] *= part;
                    self.covariance[other][place] *= part;
                }
            }
        }
    }

    /// What the model knows.
    pub fn coefficients(&self) -> [f64; N] {
        self.coefficients
    }

    /// Observations so far.
    pub fn count(&self) -> u64 {
        self.count
    }
}
