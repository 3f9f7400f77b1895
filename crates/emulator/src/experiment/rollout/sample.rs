use std::f64::consts::TAU;

use rand::{Rng, rngs::StdRng};

/// Samples a Poisson distribution with the mean `mean`, by multiplying uniform samples.
///
/// The mean must be small, as the run time grows with it.
pub(crate) fn poisson(rng: &mut StdRng, mean: f64) -> u32 {
    let threshold = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut events = 0;
    while product > threshold {
        product *= rng.random::<f64>();
        events += 1;
    }
    events
}

/// Samples a lognormal distribution with the median `median` and the standard deviation `sigma`
/// of the logarithm.
pub(crate) fn lognormal(rng: &mut StdRng, median: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (TAU * rng.random::<f64>()).cos();
    median * (sigma * normal).exp()
}

/// Samples a Bernoulli distribution with the given success probability.
pub(crate) fn bernoulli(rng: &mut StdRng, probability: f64) -> bool {
    rng.random::<f64>() < probability
}
