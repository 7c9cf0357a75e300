//! Messages at our own address, from words to typed values.

use crate::kept::names::Names;
use crate::life::limits::Limits;
use fallgap::{Came, Load, Met};
use std::time::Duration;

#[derive(Debug, PartialEq)]
pub enum Message {
    Ping,
    Collector,
    Met { server: String, met: Met, load: Option<Load> },
    Came { proxy: u32, op_type: usize, came: Came },
}

/// A message's kind comes first, then names and values in turn. What is told half is not told at all: a
/// report without its aborts would look like a good server.
pub fn decode(words: &[String], names: &Names, limits: &Limits) -> Result<Message, String> {
    let (kind, fields) = words.split_first().ok_or("an empty message")?;
    let value = |name: &str| {
        let pair = fields.as_chunks::<2>().0.iter().find(|[n, _]| n == name);
        pair.map(|[_, v]| v.as_str()).ok_or_else(|| format!("{kind} without {name}"))
    };
    let within = |name: &str, most: f64| {
        let number = value(name)?.parse::<f64>().ok().filter(|n| (0.0..=most).contains(n));
        number.ok_or_else(|| format!("{kind} with a strange {name}"))
    };
    let number = |name: &str| within(name, limits.figure);
    let time = |name: &str| within(name, limits.span.as_secs_f64() * 1e3);
    let span = || time("span_ms").map(|ms| Duration::from_secs_f64(ms / 1e3));
    match kind.as_str() {
        "ping" => Ok(Message::Ping),
        "collector" => {
            names.zone(value("zone")?).map(|_| Message::Collector).ok_or("a collector of no zone".into())
        }
        "heard" => {
            let (total, aborted) = (number("tries")?, number("failed")?);
            let met = Met { total, aborted, good_ms: time("mean_ms")?, span: span()? };
            names.zone(value("zone")?).ok_or("heard in no zone")?;
            if met.aborted > met.total {
                return Err("heard with more failed than tries".into());
            }
            let load = value("load").ok().map(|text| load(text, names, limits)).transpose()?;
            Ok(Message::Met { server: value("server")?.to_owned(), met, load })
        }
        "usage" => {
            let proxy = value("proxy")?.parse().ok().and_then(|p| names.proxy(p));
            let op_type = names.op_type(value("class")?).ok_or("usage of no op type")?;
            let came = Came { total: number("tries")?, aborted: number("failed")?, span: span()? };
            Ok(Message::Came { proxy: proxy.ok_or("usage of no proxy")?, op_type, came })
        }
        other => Err(format!("unknown kind {other:?}")),
    }
}

/// `inflight:7,util:0.61`
fn load(text: &str, names: &Names, limits: &Limits) -> Result<Load, String> {
    let figures = text.split(',').map(|pair| {
        let (name, n) = pair.split_once(':')?;
        Some((name, n.parse().ok().filter(|n| (0.0..=limits.figure).contains(n))?))
    });
    let figures: Option<Vec<(&str, f64)>> = figures.collect();
    figures.map(|figures| names.load(&figures)).ok_or_else(|| "heard with a strange load".into())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Message, String> {
        let words = |w: &str| w.split(' ').map(str::to_owned).collect::<Vec<_>>();
        let (zones, op_types, load_fields) = (words("a b"), words("lookup"), words("cpu active"));
        let names = Names { zones, op_types, load_fields, sized: true, proxies: 20 };
        decode(&words(text), &names, &Limits::within(None, None))
    }

    #[test]
    fn reports_are_read() {
        let load = Load { active: Some(7.0), busy: Some(0.61), ..Load::default() };
        let met = Met { total: 212.0, aborted: 3.0, good_ms: 41.7, span: Duration::from_secs(1) };
        let heard = "heard zone a server s-1 tries 212 failed 3 mean_ms 41.7 span_ms 1000.0";
        let server = || "s-1".to_owned();
        assert_eq!(
            read(&format!("{heard} load inflight:7,util:0.61")),
            Ok(Message::Met { server: server(), met, load: Some(load) })
        );
        assert_eq!(read(heard), Ok(Message::Met { server: server(), met, load: None }));
        let came = Came { total: 19.0, aborted: 0.0, span: Duration::from_secs(2) };
        let usage = read("usage proxy 17 class lookup tries 19 failed 0 span_ms 2000.0");
        assert_eq!(usage, Ok(Message::Came { proxy: 17, op_type: 0, came }));
        assert_eq!((read("ping"), read("collector zone b")), (Ok(Message::Ping), Ok(Message::Collector)));
    }

    /// Guards against half-told and absurd reports, which would make a good server look bad.
    #[test]
    fn half_told_and_strange_reports_are_skipped() {
        for text in [
            "heard zone a server s-1 tries 212 failed 3 mean_ms 41.7",
            "heard zone a server s-1 tries NaN failed 3 mean_ms 41.7 span_ms 1000.0",
            "heard zone a server s-1 tries 3 failed 4 mean_ms 41.7 span_ms 1000.0",
            "heard zone a server s-1 tries 3 failed 1 mean_ms -1 span_ms 1000.0",
            "usage proxy 20 class lookup tries 19 failed 0 span_ms 2000.0",
            "usage proxy 1 class other tries 19 failed 0 span_ms 2000.0",
            "usage proxy 1 class lookup tries 1e300 failed 0 span_ms 2000.0",
            "usage proxy 1 class lookup tries 19 failed 0 span_ms 2000000",
            "heard zone a server s-1 tries 3 failed 1 span_ms 1000.0",
            "heard zone z server s-1 tries 3 failed 1 mean_ms 41.7 span_ms 1000.0",
            "heard zone a server s-1 tries 3 failed 1 mean_ms 41.7 span_ms 1000.0 load s-zz",
            "heard zone a server s-1 tries 3 failed 1 mean_ms 41.7 span_ms 1000.0 load util:nan",
            "heard zone a server s-1 tries [1] failed 1 mean_ms 41.7 span_ms 1000.0",
            "collector zone z",
            "collector",
            "sing loud",
            "",
        ] {
            assert!(read(text).is_err(), "{text}");
        }
    }
}
