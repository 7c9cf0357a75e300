//! Shapes in words, as on a command line: `ramp(100,2000,30s)*sine(1,0.3,10s)`.

use crate::arrivals::Shape;
use std::time::Duration;

impl std::str::FromStr for Shape {
    type Err = String;

    /// # Errors
    /// What was expected, in words.
    fn from_str(text: &str) -> Result<Shape, String> {
        let mut parts = text.split('*').map(one);
        let first = parts.next().unwrap_or_else(|| Err(USAGE.into()))?;
        parts.try_fold(first, |shape, part| Ok(Shape::Times(Box::new(shape), Box::new(part?))))
    }
}

const USAGE: &str = "a rate, or constant(R), ramp(R,R,T), steps(R@T,...), sine(MEAN,SWING,T), \
    campaign(R,R,T,TIMES,T), bursts(R,T,T,TAIL), joined by *";

fn one(text: &str) -> Result<Shape, String> {
    let text = text.trim();
    let Some((name, rest)) = text.split_once('(') else {
        return rate(text).map(Shape::Constant);
    };
    let inner = rest.strip_suffix(')').ok_or_else(|| format!("{text:?} without its last bracket"))?;
    let words: Vec<&str> = inner.split(',').map(str::trim).collect();
    match (name.trim(), &words[..]) {
        ("constant", [r]) => Ok(Shape::Constant(rate(r)?)),
        ("ramp", [from, to, over]) => Ok(Shape::Ramp { from: rate(from)?, to: rate(to)?, over: time(over)? }),
        ("steps", steps) => {
            let step = |word: &&str| {
                let (r, at) = word.split_once('@').ok_or_else(|| format!("{word:?}: expected R@T"))?;
                Ok::<_, String>((time(at)?, rate(r)?))
            };
            let steps = steps.iter().map(step).collect::<Result<Vec<_>, _>>()?;
            let sorted = steps.windows(2).all(|pair| pair[0].0 < pair[1].0);
            if sorted { Ok(Shape::Steps(steps)) } else { Err("steps out of order".into()) }
        }
        ("sine", [mean, swing, period]) => {
            Ok(Shape::Sine { mean: rate(mean)?, swing: rate(swing)?, period: time(period)? })
        }
        ("campaign", [base, peak, over, load, lasting]) => Ok(Shape::Campaign {
            base: rate(base)?,
            peak: rate(peak)?,
            over: time(over)?,
            load: rate(load)?,
            lasting: time(lasting)?,
        }),
        ("bursts", [r, on, off, tail]) => {
            let tail = rate(tail)?;
            if tail <= 1.0 {
                return Err("a tail of 1 or less has no mean".into());
            }
            Ok(Shape::Bursts { rate: rate(r)?, on: time(on)?, off: time(off)?, tail })
        }
        _ => Err(format!("{text:?}: expected {USAGE}")),
    }
}

fn rate(word: &str) -> Result<f64, String> {
    let read = word.trim().parse::<f64>().ok().filter(|r| (0.0..=1e9).contains(r));
    read.ok_or_else(|| format!("{word:?}: expected a number from 0 to 1000000000, or {USAGE}"))
}

fn time(word: &str) -> Result<Duration, String> {
    fallgap_operator::time_in_words(word)
        .filter(|t| !t.is_zero() || word.trim().starts_with('0'))
        .ok_or_else(|| format!("{word:?}: expected a time with its unit, as 30s"))
}
