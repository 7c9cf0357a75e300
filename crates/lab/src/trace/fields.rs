//! Which field of a recording means what.

use super::Row;
use std::time::Duration;

/// The unit of a field that holds a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    Seconds,
    Millis,
    Micros,
    Nanos,
}

impl Unit {
    fn read(self, text: &str) -> Option<Duration> {
        let (whole, part) = text.split_once('.').unwrap_or((text, ""));
        let per: u128 = match self {
            Unit::Seconds => 1_000_000_000,
            Unit::Millis => 1_000_000,
            Unit::Micros => 1000,
            Unit::Nanos => 1,
        };
        // Exactly: a time since the epoch in seconds has more digits than a float.
        let digits = |text: &str| text.bytes().all(|b| b.is_ascii_digit());
        if whole.is_empty() || !digits(whole) || !digits(part) || whole.len() > 20 || part.len() > 20 {
            return None;
        }
        let scale = 10u128.pow(part.len() as u32);
        let parts = if part.is_empty() { 0 } else { part.parse::<u128>().ok()? };
        let nanos = whole.parse::<u128>().ok()? * per + parts * per / scale;
        Some(Duration::from_nanos(u64::try_from(nanos).ok()?))
    }
}

/// Names of fields. `at` has to be there; what is not named is as an op has it by default.
#[derive(Clone, Debug, PartialEq)]
pub struct Fields {
    pub at: (String, Unit),
    pub kind: Option<String>,
    pub key: Option<String>,
    pub tenant: Option<String>,
    pub zone: Option<String>,
    pub work: Option<(String, Unit)>,
    pub id: Option<String>,
}

impl Default for Fields {
    /// Those that [`super::export`] writes.
    fn default() -> Self {
        let named = |name: &str| Some(name.to_owned());
        Fields {
            at: ("at_ns".into(), Unit::Nanos),
            kind: named("kind"),
            key: named("key"),
            tenant: named("tenant"),
            zone: named("zone"),
            work: Some(("work_ns".into(), Unit::Nanos)),
            id: named("id"),
        }
    }
}

impl std::str::FromStr for Fields {
    type Err = String;

    /// `at=ts:s,kind=op,key=object,work=took:ms`: our name, theirs, and the unit of a time.
    ///
    /// # Errors
    /// What was expected, in words.
    fn from_str(text: &str) -> Result<Fields, String> {
        let mut fields = Fields {
            at: (String::new(), Unit::Nanos),
            kind: None,
            key: None,
            tenant: None,
            zone: None,
            work: None,
            id: None,
        };
        for pair in text.split(',') {
            let (ours, theirs) =
                pair.split_once('=').ok_or_else(|| format!("{pair:?}: expected NAME=FIELD"))?;
            let timed = || {
                let (name, unit) =
                    theirs.rsplit_once(':').ok_or_else(|| format!("{pair:?}: expected {ours}=FIELD:UNIT"))?;
                let unit = match unit {
                    "s" => Unit::Seconds,
                    "ms" => Unit::Millis,
                    "us" => Unit::Micros,
                    "ns" => Unit::Nanos,
                    _ => return Err(format!("{pair:?}: expected a unit of s, ms, us, ns")),
                };
                Ok::<_, String>((name.to_owned(), unit))
            };
            match ours.trim() {
                "at" => fields.at = timed()?,
                "work" => fields.work = Some(timed()?),
                "kind" => fields.kind = Some(theirs.into()),
                "key" => fields.key = Some(theirs.into()),
                "tenant" => fields.tenant = Some(theirs.into()),
                "zone" => fields.zone = Some(theirs.into()),
                "id" => fields.id = Some(theirs.into()),
                other => {
                    return Err(format!("{other:?}: expected one of at, kind, key, tenant, zone, work, id"));
                }
            }
        }
        if fields.at.0.is_empty() { Err("expected at=FIELD:UNIT".into()) } else { Ok(fields) }
    }
}

impl Fields {
    /// A row, given what finds a field's text by its name.
    ///
    /// # Errors
    /// Which field is missing or strange.
    pub fn row<'a>(&self, find: impl Fn(&str) -> Option<&'a str>) -> Result<Row, String> {
        let need = |name: &str| find(name).map(str::trim).ok_or_else(|| format!("no field {name:?}"));
        let strange = |name: &str, text: &str| {
            format!("field {name:?}: {:?}", text.chars().take(40).collect::<String>())
        };
        let time = |(name, unit): &(String, Unit)| {
            let text = need(name)?;
            unit.read(text).ok_or_else(|| strange(name, text))
        };
        let number = |name: &Option<String>, most: u64| match name {
            None => Ok(0),
            Some(name) => {
                let text = need(name)?;
                text.parse::<u64>().ok().filter(|n| *n <= most).ok_or_else(|| strange(name, text))
            }
        };
        // What is no number is a name: its own number, the same each time.
        let key = match &self.key {
            None => 0,
            Some(name) => {
                let text = need(name)?;
                text.parse::<u64>().unwrap_or_else(|_| number_of(text))
            }
        };
        Ok(Row {
            at: time(&self.at)?,
            kind: self.kind.as_deref().map_or(Ok(""), need)?.to_owned(),
            key,
            tenant: number(&self.tenant, u32::MAX.into())? as u32,
            zone: number(&self.zone, u16::MAX.into())? as u16,
            work: self.work.as_ref().map_or(Ok(Duration::ZERO), time)?,
            id: self.id.as_deref().map(need).transpose()?.filter(|id| !id.is_empty()).map(str::to_owned),
        })
    }
}

/// A name's own number, the same each time: FNV-1a.
pub(super) fn number_of(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |key, byte| (key ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
