use std::f64::consts::TAU;

use rand::{Rng, rngs::StdRng};

/// Draws the number of events of a Poisson process with the mean `mean`, which must be small.
pub(crate) fn poisson(rng: &mut StdRng, mean: f64) -> u32 {
    let limit = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut events = 0;
    while product > limit {
        product *= rng.random::<f64>();
        events += 1;
    }
    events
}

/// Draws a lognormal value with the median `median` and the spread `spread`.
pub(crate) fn lognormal(rng: &mut StdRng, median: f64, spread: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (TAU * rng.random::<f64>()).cos();
    median * (spread * normal).exp()
}

/// Returns whether an event of probability `part` happens.
pub(crate) fn chance(rng: &mut StdRng, part: f64) -> bool {
    rng.random::<f64>() < part
}
