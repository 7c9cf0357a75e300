//! A document as `sonic-rs` points into it: fields with their places, and the simple kinds of values.

use crate::fault::{Faults, What};
use crate::terms::TERMS;
use sonic_rs::{JsonContainerTrait, JsonType, JsonValueTrait, Value};
use std::fmt;
use std::time::Duration;

/// Where something stands: a chain of steps up to the top of the document. Costs nothing until it is told.
#[derive(Clone, Copy)]
pub struct Spot<'p> {
    up: Option<&'p Spot<'p>>,
    step: Step<'p>,
}

#[derive(Clone, Copy)]
enum Step<'p> {
    Top,
    Key(&'p str),
    At(usize),
}

impl<'p> Spot<'p> {
    pub const TOP: Spot<'static> = Spot { up: None, step: Step::Top };

    pub fn key(&'p self, key: &'p str) -> Spot<'p> {
        Spot { up: Some(self), step: Step::Key(key) }
    }

    pub fn at(&'p self, index: usize) -> Spot<'p> {
        Spot { up: Some(self), step: Step::At(index) }
    }
}

impl fmt::Display for Spot<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(up) = self.up {
            up.fmt(f)?;
        }
        match self.step {
            Step::Top => Ok(()),
            Step::Key(key) => write!(f, "/{key}"),
            Step::At(index) => write!(f, "/{index}"),
        }
    }
}

/// The whole document, checked as JSON to its last byte.
pub fn document(body: &[u8], most: usize) -> Result<Value, Faults> {
    if body.len() > most {
        return Err(Faults::one(What::TooLarge(most)));
    }
    check_size(body)?;
    let text = std::str::from_utf8(body).map_err(|error| Faults::one(What::Unreadable(error.to_string())))?;
    let top: Value = sonic_rs::from_str(text).map_err(|error| Faults::one(unreadable(&error)))?;
    if !top.is_object() {
        return Err(Faults::one(unexpected("an object", &top)));
    }
    Ok(top)
}

/// The first line of the library's error; the rest shows the surroundings.
fn unreadable(error: &sonic_rs::Error) -> What {
    let text = error.to_string();
    What::Unreadable(text.lines().next().unwrap_or_default().trim_end().to_owned())
}

/// Looks at the outer shape of a document before the library may build it: it steps into brackets by recursion, and
/// every value takes a place in memory.
fn check_size(body: &[u8]) -> Result<(), Faults> {
    let (mut depth, mut values, mut in_text, mut escaped) = (0usize, 0usize, false, false);
    for &byte in body {
        if in_text {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_text = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => in_text = true,
            b',' | b':' => values += 1,
            b'{' | b'[' => {
                depth += 1;
                values += 1;
                if depth > TERMS.depth {
                    return Err(Faults::one(What::TooDeep(TERMS.depth)));
                }
            }
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    if values > TERMS.values {
        return Err(Faults::one(What::TooMany(TERMS.values)));
    }
    Ok(())
}

/// A value with its place. Null counts as left out.
pub struct Field<'p, 'v> {
    pub value: Option<&'v Value>,
    pub spot: Spot<'p>,
}

impl<'p, 'v> Field<'p, 'v> {
    pub fn new(value: Option<&'v Value>, spot: Spot<'p>) -> Self {
        Field { value: value.filter(|v| !v.is_null()), spot }
    }

    pub fn top(value: &'v Value) -> Self {
        Field::new(Some(value), Spot::TOP)
    }

    /// A field of this object.
    pub fn field<'a>(&'a self, key: &'a str) -> Field<'a, 'v> {
        let value = self.value.and_then(|v| v.pointer([key]));
        Field::new(value, self.spot.key(key))
    }

    /// What `of` makes of the value. Left out: `None`. Not fit: `None` and a fault.
    pub fn may<T>(
        &self, faults: &mut Faults, expected: &'static str, of: impl FnOnce(&'v Value) -> Option<T>,
    ) -> Option<T> {
        let value = self.value?;
        let found = of(value);
        if found.is_none() {
            faults.add(&self.spot, unexpected(expected, value));
        }
        found
    }

    /// The same, and to be left out is a fault too.
    pub fn must<T>(
        &self, faults: &mut Faults, expected: &'static str, of: impl FnOnce(&'v Value) -> Option<T>,
    ) -> Option<T> {
        self.needed(faults, expected);
        self.may(faults, expected, of)
    }

    /// To be left out is a fault.
    pub fn needed(&self, faults: &mut Faults, expected: &'static str) {
        if self.value.is_none() {
            faults.add(&self.spot, What::Missing(expected));
        }
    }

    /// A name that must be there; empty where it is not.
    pub fn name(&self, faults: &mut Faults) -> String {
        self.must(faults, NAME, name).unwrap_or_default()
    }

    /// Checks that it is an object. What is left out is none and is no fault.
    pub fn object(&self, faults: &mut Faults) {
        self.may(faults, "an object", |v| v.is_object().then_some(()));
    }

    /// Hands out the elements of a list, `most` at most. What is left out has none.
    pub fn elements(
        &self, faults: &mut Faults, most: usize, mut each: impl FnMut(&mut Faults, Field<'_, '_>),
    ) {
        let Some(list) = self.may(faults, "a list", |v| v.as_array()) else { return };
        for (i, element) in list.iter().enumerate() {
            if i >= most {
                faults.add(&self.spot, What::TooMany(most));
                return;
            }
            each(faults, Field::new(Some(element), self.spot.at(i)));
        }
    }
}

pub fn unexpected(expected: &'static str, value: &Value) -> What {
    What::Unexpected { expected, found: shown(value) }
}

/// A value in a few words, fit for one line of a log.
fn shown(value: &Value) -> String {
    const MOST: usize = 40;
    let text = match value.get_type() {
        JsonType::Object => return "an object".to_owned(),
        JsonType::Array => return "a list".to_owned(),
        _ => value.to_string(),
    };
    let mut shown: String = text.chars().take(MOST).map(|c| if c.is_control() { ' ' } else { c }).collect();
    if shown.len() < text.len() {
        shown.push_str("...");
    }
    shown
}

pub const NAME: &str = "a name";
pub const SECONDS: &str = "seconds";
pub const WHOLE: &str = "a whole number from 0 on";
pub const NUMBER: &str = "a number";
pub const TRUTH: &str = "true or false";

/// Not empty, not too long, no control characters.
pub fn name(value: &Value) -> Option<String> {
    let text = value.as_str()?;
    let fit = !text.is_empty() && text.len() <= TERMS.name_bytes && !text.contains(char::is_control);
    fit.then(|| text.to_owned())
}

pub fn number(value: &Value) -> Option<f64> {
    if !value.is_number() {
        return None;
    }
    value.as_f64().filter(|n| n.is_finite())
}

/// Also from a number written with a fraction of 0.
pub fn whole(value: &Value) -> Option<u64> {
    const EXACT: f64 = (1u64 << 53) as f64;
    if !value.is_number() {
        return None;
    }
    value.as_u64().or_else(|| {
        let number = number(value)?;
        (number.fract() == 0.0 && (0.0..=EXACT).contains(&number)).then_some(number as u64)
    })
}

/// A number that is drawn to its nearest whole one within the bounds.
pub fn count(value: &Value, least: u32, most: u32) -> Option<u32> {
    number(value).map(|n| n.round().clamp(f64::from(least), f64::from(most)) as u32)
}

/// Not below 0; what is longer than the terms allow is cut.
pub fn seconds(value: &Value) -> Option<Duration> {
    number(value).and_then(duration)
}

pub fn duration(seconds: f64) -> Option<Duration> {
    if !seconds.is_finite() || seconds < 0.0 {
        return None;
    }
    Duration::try_from_secs_f64(seconds.min(TERMS.longest.as_secs_f64())).ok()
}

pub fn flag(value: &Value) -> Option<bool> {
    value.as_bool()
}
