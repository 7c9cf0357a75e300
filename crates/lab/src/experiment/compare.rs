//! Whether two sets of runs differ: paired by seed, with an interval by bootstrap.

use super::result::Shown;
use std::collections::BTreeMap;

/// One figure of two variants over the same seeds.
#[derive(Clone, Debug, PartialEq)]
pub struct Compared {
    pub name: &'static str,
    pub pairs: usize,
    pub median: [f64; 2],
    /// Of the differences of pairs, the second less the first: median, and an interval of 95%.
    pub difference: f64,
    pub interval: (f64, f64),
    pub more_is_better: bool,
}

impl Compared {
    /// Whether the interval excludes that there is none. Fewer than five pairs show nothing.
    pub fn shows(&self) -> bool {
        self.pairs >= 5 && (self.interval.0 > 0.0 || self.interval.1 < 0.0)
    }
    pub fn words(&self) -> &'static str {
        match (self.shows(), (self.difference > 0.0) == self.more_is_better) {
            (false, _) => "no difference shown",
            (true, true) => "better",
            (true, false) => "worse",
        }
    }
}

const RESAMPLES: usize = 4000;

pub fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    match values.len() {
        0 => 0.0,
        n if n.is_multiple_of(2) => (values[n / 2 - 1] + values[n / 2]) / 2.0,
        n => values[n / 2],
    }
}

/// The interval in which the median of such differences lies, by drawing them anew with a seed.
pub fn bootstrap(differences: &[f64], seed: u64) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut drawn = || {
        let mut sample: Vec<f64> =
            (0..differences.len()).map(|_| differences[rng.usize(..differences.len())]).collect();
        median(&mut sample)
    };
    if differences.is_empty() {
        return (0.0, 0.0);
    }
    let mut medians: Vec<f64> = (0..RESAMPLES).map(|_| drawn()).collect();
    medians.sort_by(f64::total_cmp);
    (medians[RESAMPLES / 40], medians[RESAMPLES - 1 - RESAMPLES / 40])
}

/// Runs that are not valid are left out, with their pair.
pub fn compare(one: &[Shown], other: &[Shown]) -> Vec<Compared> {
    let by_seed = |runs: &[Shown]| -> BTreeMap<u64, Shown> {
        runs.iter().filter(|run| run.valid).map(|run| (run.seed, run.clone())).collect()
    };
    let (one, other) = (by_seed(one), by_seed(other));
    let pairs: Vec<(&Shown, &Shown)> =
        one.iter().filter_map(|(seed, run)| Some((run, other.get(seed)?))).collect();
    let names = super::result::Figures::default().all();
    let compared = names.iter().enumerate().map(|(i, (name, _, more_is_better))| {
        let of = |run: &Shown| run.figures.all()[i].1;
        let mut firsts: Vec<f64> = pairs.iter().map(|(a, _)| of(a)).collect();
        let mut seconds: Vec<f64> = pairs.iter().map(|(_, b)| of(b)).collect();
        let mut differences: Vec<f64> = pairs.iter().map(|(a, b)| of(b) - of(a)).collect();
        let interval = bootstrap(&differences, 1);
        Compared {
            name,
            pairs: pairs.len(),
            median: [median(&mut firsts), median(&mut seconds)],
            difference: median(&mut differences),
            interval,
            more_is_better: *more_is_better,
        }
    });
    compared.collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::result::Figures;

    fn runs(acked: impl Fn(u64) -> f64, seeds: u64) -> Vec<Shown> {
        let run = |seed| Shown {
            seed,
            valid: seed != 3,
            figures: Figures { acked: acked(seed), ..Figures::default() },
            ..Shown::default()
        };
        (0..seeds).map(run).collect()
    }

    fn noise(seed: u64, of: u64) -> f64 {
        fastrand::Rng::with_seed(seed * 100 + of).f64() * 0.02
    }

    /// Guards against noise that passes for a difference, and a difference that noise between seeds hides.
    #[test]
    fn differences_are_shown_when_there_are_any() {
        let day = |seed: u64| 0.5 + 0.04 * (seed % 10) as f64;
        let one = runs(|seed| day(seed) + noise(seed, 1), 12);
        let same = runs(|seed| day(seed) + noise(seed, 2), 12);
        let better = runs(|seed| day(seed) + 0.03 + noise(seed, 2), 12);
        let acked = |other: &[Shown]| compare(&one, other).into_iter().find(|c| c.name == "acked").unwrap();
        assert_eq!((acked(&same).words(), acked(&same).pairs), ("no difference shown", 11));
        assert_eq!(acked(&better).words(), "better");
        assert!((acked(&better).difference - 0.03).abs() < 0.015);
        assert_eq!(compare(&better, &one)[0].words(), "worse");
        assert_eq!(compare(&one[..4], &better[..4])[0].words(), "no difference shown", "too few pairs");
        assert!(compare(&one, &[]).iter().all(|c| !c.shows()));
    }

    /// Guards against intervals that are too narrow: of many sets without a difference few show one.
    #[test]
    fn intervals_hold_as_often_as_they_say() {
        let misses = (0..200).filter(|set| {
            let mut rng = fastrand::Rng::with_seed(*set);
            let differences: Vec<f64> = (0..15).map(|_| rng.f64() + rng.f64() + rng.f64() - 1.5).collect();
            let (least, most) = bootstrap(&differences, 1);
            least > 0.0 || most < 0.0
        });
        let misses = misses.count();
        assert!(misses < 26, "{misses} of 200");
    }
}
