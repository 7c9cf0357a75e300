//! Rows from CSV with a head line, or from JSON lines.

use super::fields::Fields;
use super::{BadRow, Row};
use serde_json::Value;
use std::collections::HashMap;
use std::io::{BufRead, Read};

/// Longest line that is read.
const MOST_LINE: usize = 64 << 10;

/// The form of a recording.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Csv,
    JsonLines,
}

/// Rows as recorded, in the order of the file, each with its line.
pub fn rows<R: BufRead + 'static>(
    from: R, form: Form, fields: Fields,
) -> Box<dyn Iterator<Item = Result<(u64, Row), BadRow>>> {
    match form {
        Form::Csv => Box::new(from_csv(from, fields)),
        Form::JsonLines => Box::new(from_json(from, fields)),
    }
}

fn from_csv<R: Read + 'static>(from: R, fields: Fields) -> impl Iterator<Item = Result<(u64, Row), BadRow>> {
    let mut reader = csv::ReaderBuilder::new().flexible(true).from_reader(from);
    let head: HashMap<String, usize> = match reader.headers() {
        Ok(head) => head.iter().enumerate().map(|(place, name)| (name.trim().to_owned(), place)).collect(),
        Err(_) => HashMap::new(),
    };
    reader.into_records().map(move |record| {
        let bad = |line: Option<u64>, why: String| BadRow { line: line.unwrap_or(0), why };
        let record = record.map_err(|e| bad(e.position().map(csv::Position::line), e.to_string()))?;
        let line = record.position().map(csv::Position::line);
        if record.as_slice().len() > MOST_LINE {
            return Err(bad(line, "longer than is read".into()));
        }
        let row = fields.row(|name| record.get(*head.get(name)?));
        row.map(|row| (line.unwrap_or(0), row)).map_err(|why| bad(line, why))
    })
}

fn from_json<R: BufRead + 'static>(
    mut from: R, fields: Fields,
) -> impl Iterator<Item = Result<(u64, Row), BadRow>> {
    let mut line = 0;
    std::iter::from_fn(move || {
        loop {
            line += 1;
            let mut text = Vec::new();
            // One byte more tells a line that is too long from one that just fits.
            let read = (&mut from).take(MOST_LINE as u64 + 1).read_until(b'\n', &mut text);
            match read {
                Ok(0) => return None,
                Ok(_) if text.len() > MOST_LINE => {
                    let rest = skip_line(&mut from);
                    return rest.ok().map(|()| Err(BadRow { line, why: "longer than is read".into() }));
                }
                Ok(_) if text.trim_ascii().is_empty() => {}
                Ok(_) => return Some(one(&text, line, &fields)),
                Err(e) => return Some(Err(BadRow { line, why: e.to_string() })),
            }
        }
    })
}

fn skip_line(from: &mut impl BufRead) -> std::io::Result<()> {
    loop {
        let (found, used) = {
            let bytes = from.fill_buf()?;
            match bytes.iter().position(|b| *b == b'\n') {
                Some(end) => (true, end + 1),
                None => (bytes.is_empty(), bytes.len()),
            }
        };
        from.consume(used);
        if found {
            return Ok(());
        }
    }
}

fn one(text: &[u8], line: u64, fields: &Fields) -> Result<(u64, Row), BadRow> {
    let bad = |why: String| BadRow { line, why };
    let value: HashMap<String, Value> =
        serde_json::from_slice(text).map_err(|e| bad(format!("no object: {e}")))?;
    // Numbers are read as they are written.
    let texts: HashMap<&str, String> = value
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_str().map_or_else(|| value.to_string(), str::to_owned)))
        .collect();
    let row = fields.row(|name| texts.get(name).map(String::as_str));
    row.map(|row| (line, row)).map_err(bad)
}
