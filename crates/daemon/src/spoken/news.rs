//! News from the relay: a stream of JSON lines that stays open.

use crate::kept::desk::Desk;
use crate::kept::links::Links;
use crate::kept::names::Names;
use futures_util::StreamExt;
use serde_json::Value;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

#[derive(Debug, PartialEq)]
enum News {
    Alive,
    Joined { proxy: u32, zone: usize, usual: f64, fresh: bool },
    Left { proxy: u32 },
    Applied { proxy: u32, stamp: u16 },
    Odd,
}

/// `None`: the line cannot be read at all. One that is JSON and not as agreed is odd, and the next is read.
fn decode(line: &[u8], names: &Names) -> Option<News> {
    let line: Value = serde_json::from_slice(line).ok()?;
    if line.as_object().is_some_and(|fields| fields.is_empty()) {
        return Some(News::Alive);
    }
    Some(told(line["type"].as_str().unwrap_or(""), &line["object"], names).unwrap_or(News::Odd))
}

/// `None`: of no known kind, proxy or zone.
fn told(kind: &str, object: &Value, names: &Names) -> Option<News> {
    let proxy = names.proxy(object["proxy"].as_u64()?)?;
    match kind {
        "joined" => {
            let usual = object["weight"].as_f64().filter(|weight| *weight >= 0.0)?;
            let zone = names.zone(object["zone"].as_str()?)?;
            Some(News::Joined { proxy, zone, usual, fresh: object["fresh"].as_bool()? })
        }
        "left" => Some(News::Left { proxy }),
        "applied" => {
            let stamp = object["mark"].as_u64().and_then(|m| u16::try_from(m).ok())?;
            Some(News::Applied { proxy, stamp })
        }
        _ => None,
    }
}

/// Follows the news for ever, dialling again when the stream breaks or falls silent; `stands` is told once
/// it is open. What stands is named again on each: a proxy that is not has left meanwhile, and one that is
/// may have left and come back, so it counts as joining anew.
pub async fn follow(desk: Rc<Desk>, stands: Rc<Notify>) {
    let keep = async |links: &Links| follow_at(&desk, links, &stands).await;
    desk.links.follow(keep, || desk.counters.one("news_moved")).await;
}

async fn follow_at(desk: &Desk, links: &Links, stands: &Notify) {
    let mut broken = 0u32;
    loop {
        let before = desk.clock.now();
        let why = stream(desk, links, stands).await;
        desk.odd("news_broken", &why);
        // A stream that held for a while broke by itself: it is dialled again at once.
        let held = desk.clock.now().saturating_sub(before) > desk.limits.news_silent;
        broken = if held { 0 } else { broken + 1 };
        sleep(desk.limits.pause(broken).mul_f64(0.5 + 0.5 * fastrand::f64())).await;
    }
}

async fn stream(desk: &Desk, links: &Links, stands: &Notify) -> String {
    let limits = &desk.limits;
    let url = format!("http://{}/v3/kv/watch", links.to.relay);
    let mut response = match timeout(limits.first_answer, links.client.get(url).send()).await {
        Ok(Ok(response)) if response.status().is_success() => response,
        Ok(Ok(response)) => return format!("status {}", response.status()),
        Ok(Err(e)) => return e.to_string(),
        Err(_) => return "no answer".into(),
    };
    desk.counters.one("news_opened");
    desk.joined.borrow_mut().opens();
    stands.notify_one();
    let mut partial: Vec<u8> = Vec::new();
    loop {
        match timeout(limits.news_silent, response.next()).await {
            Ok(Some(Ok(chunk))) => partial.extend_from_slice(&chunk),
            Ok(Some(Err(e))) => return e.to_string(),
            Ok(None) => return "ended".into(),
            Err(_) => return "silent".into(),
        }
        let whole = partial.iter().rposition(|b| *b == b'\n').map_or(0, |end| end + 1);
        for line in partial[..whole].split(|b| *b == b'\n').filter(|l| !l.trim_ascii().is_empty()) {
            match decode(line, &desk.names) {
                Some(news) => tell(desk, news),
                None => return "a line that cannot be read".into(),
            }
        }
        partial.drain(..whole);
        if partial.len() > limits.news_line {
            return "a line without end".into();
        }
    }
}

fn tell(desk: &Desk, news: News) {
    let counters = &desk.counters;
    let mut joined = desk.joined.borrow_mut();
    match news {
        News::Alive => {
            counters.one("news_alive");
            let left = joined.opened();
            counters.add("news_left", left.len());
            left.into_iter().for_each(|proxy| desk.report(|s, now| s.report_left(now, proxy)));
        }
        News::Joined { proxy, zone, usual, fresh } => {
            counters.one("news_joined");
            joined.joins(proxy);
            desk.report(|s, now| s.report_joined(now, proxy, zone, usual, fresh));
        }
        News::Left { proxy } => {
            counters.one("news_left");
            if joined.leaves(proxy) {
                desk.report(|s, now| s.report_left(now, proxy));
            }
        }
        News::Applied { proxy, stamp } => {
            counters.one("news_applied");
            if joined.holds(proxy) {
                desk.report(|s, now| s.report_answered(now, proxy, stamp));
            }
        }
        News::Odd => desk.odd("news_odd", "a line of no known kind, proxy or zone"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against news that is half told or strange: it changes nothing, and only what cannot be read at
    /// all breaks the stream.
    #[test]
    fn news_is_read_and_strange_news_is_odd() {
        let (zones, op_types, load_fields) = (vec!["a".into()], vec![], vec![]);
        let names = Names { zones, op_types, load_fields, sized: true, proxies: 20 };
        let read = |text: &str| decode(text.as_bytes(), &names);
        assert_eq!(read("{}"), Some(News::Alive));
        let joined = r#"{"type":"joined","object":{"proxy":17,"zone":"a","weight":21.5,"fresh":true}}"#;
        let news = News::Joined { proxy: 17, zone: 0, usual: 21.5, fresh: true };
        assert_eq!(read(joined), Some(news));
        let left = r#"{"type":"left","object":{"proxy":17}}"#;
        assert_eq!(read(left), Some(News::Left { proxy: 17 }));
        let applied = r#"{"type":"applied","object":{"proxy":17,"mark":905,"took_ms":310.4}}"#;
        assert_eq!(read(applied), Some(News::Applied { proxy: 17, stamp: 905 }));
        let odd = [
            joined.replace("17", "20"),
            joined.replace("\"a\"", "\"z\""),
            joined.replace("21.5", "-1"),
            left.replace("17", "99999999999"),
            left.replace("left", "sung"),
            applied.replace("905", "65536"),
            joined.replace("21.5", "[1]"),
            joined.replace("true", "\"yes\""),
            applied.replace("905", "null"),
            r#"{"type":"left"}"#.into(),
            r#"{"type":7}"#.into(),
            "[7]".into(),
        ];
        odd.iter().for_each(|line| assert_eq!(read(line), Some(News::Odd), "{line}"));
        ["{", "joined", "{}{}"].iter().for_each(|line| assert_eq!(read(line), None, "{line}"));
    }
}
