//! The listen address: collectors and pings in RESP2, and the page of counters in HTTP, told apart by the
//! first byte.

use crate::kept::desk::Desk;
use crate::kept::guests::{Guests, Place};
use crate::spoken::page;
use crate::spoken::reports::{self, Message};
use crate::spoken::resp::{self, Decoder};
use actix_rt::net::{TcpListener, TcpStream};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout, timeout_at};

pub async fn serve(desk: Rc<Desk>, listener: TcpListener) {
    let guests = Guests::new(desk.limits.guests, desk.limits.collectors);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                desk.counters.one("guests");
                let (desk, place) = (desk.clone(), guests.enter());
                let guests = guests.clone();
                actix_rt::spawn(async move {
                    let leave = place.leave.clone();
                    tokio::select! {
                        () = leave.notified() => desk.counters.one("guests_sent_off"),
                        () = welcome(&desk, &guests, &place, stream) => {}
                    }
                });
                // Guards against a crowd that comes faster than those sent off can go.
                tokio::task::yield_now().await;
            }
            // Out of descriptors, most likely: whoever leaves frees one.
            Err(e) => {
                desk.odd("accept_failed", &e.to_string());
                sleep(desk.limits.again.0).await;
            }
        }
    }
}

/// Whoever is no collector is gone when its time is up, however much or little it says: it costs a place for
/// that long and no longer.
async fn welcome(desk: &Rc<Desk>, guests: &Guests, place: &Place, mut stream: TcpStream) {
    let till = Instant::now() + desk.limits.unnamed_guest;
    let mut first = [0];
    let served = match timeout_at(till, stream.peek(&mut first)).await {
        Ok(Ok(1)) if first[0] == b'*' => hear(desk, guests, place, &mut stream, till).await,
        Ok(Ok(1)) if first[0].is_ascii_uppercase() => {
            let page = timeout_at(till, page::serve(desk.clone(), stream)).await;
            return page.unwrap_or_else(|_| desk.counters.one("guests_late"));
        }
        Ok(Ok(1)) => Err(odd("guests_unreadable", "neither RESP2 nor HTTP")),
        Ok(_) => Ok(()),
        Err(_) => Err(late()),
    };
    if let Err(refusal) = served {
        // A guest that stays beyond its time is nothing odd: many only ask for a sign of life.
        match refusal.name {
            "guests_late" => desk.counters.one(refusal.name),
            name => desk.odd(name, &refusal.why),
        }
        // Told as far as there is room at once; the close that follows tells the rest.
        let _ = stream.try_write(&resp::encode(&["refused", "reason", &refusal.why]));
    }
}

/// Why a guest is refused: it is told, and its connection ends.
struct Refusal {
    name: &'static str,
    why: String,
}

fn odd(name: &'static str, why: &str) -> Refusal {
    Refusal { name, why: why.to_owned() }
}

fn late() -> Refusal {
    odd("guests_late", "no collector within the time")
}

/// Reads messages until the guest leaves, cannot be read, or says what only a collector may. A collector may
/// be silent as long as it likes, but not amid a message: with a spoilt length, reports would be taken for its
/// rest for ever.
async fn hear(
    desk: &Desk, guests: &Guests, place: &Place, stream: &mut TcpStream, till: Instant,
) -> Result<(), Refusal> {
    let limits = &desk.limits;
    let mut decoder = Decoder::new(limits.first_message, limits.words);
    let mut collector = false;
    let mut amid_since = Instant::now();
    let mut bytes = [0; 4096];
    // Without it answers still arrive, only later.
    let _ = stream.set_nodelay(true);
    loop {
        let read = stream.read(&mut bytes);
        let read = match (collector, decoder.amid()) {
            (false, _) => timeout_at(till, read).await.map_err(|_| late())?,
            (true, true) => timeout_at(amid_since + limits.one_message, read)
                .await
                .map_err(|_| odd("guests_unreadable", "a message that does not end"))?,
            (true, false) => read.await,
        };
        let n = match read {
            Ok(0) | Err(_) => return Ok(()),
            Ok(n) => n,
        };
        // One that never stops talking has always something to be read.
        if !collector && Instant::now() >= till {
            return Err(late());
        }
        if !decoder.amid() {
            amid_since = Instant::now();
        }
        let mut rest = &bytes[..n];
        while !rest.is_empty() {
            let fed = decoder.feed(rest);
            let (left, words) = fed.map_err(|why| odd("guests_unreadable", &format!("{why:?}")))?;
            rest = left;
            let Some(words) = words else { continue };
            amid_since = Instant::now();
            place.heard();
            match reports::decode(&words, &desk.names, limits) {
                Ok(Message::Ping) => {
                    desk.counters.one("pings");
                    let pong = resp::encode(&["pong"]);
                    if !matches!(timeout(limits.write, stream.write_all(&pong)).await, Ok(Ok(()))) {
                        return Ok(());
                    }
                }
                Ok(Message::Collector) => {
                    desk.counters.one("collectors");
                    if !std::mem::replace(&mut collector, true) {
                        decoder.allow(limits.message);
                        guests.collects(place);
                    }
                }
                Ok(_) if !collector => return Err(odd("guests_refused", "a report before its collector")),
                Ok(Message::Met { server, met, load }) => {
                    desk.counters.one("reports_met");
                    place.reported();
                    if met.total > met.aborted {
                        desk.sources(|sources, now| sources.answered(now, &server));
                    }
                    let mut known = true;
                    desk.report(|s, now| known = s.report_met(now, &server, met, load));
                    if !known {
                        desk.odd("reports_unknown", "a report of a server that no list names");
                    }
                }
                Ok(Message::Came { proxy, op_type, came }) => {
                    desk.counters.one("reports_came");
                    place.reported();
                    desk.report(|s, now| s.report_came(now, proxy, op_type, came));
                }
                Err(why) if !collector => return Err(odd("guests_refused", &why)),
                Err(why) => desk.odd("reports_odd", &why),
            }
        }
    }
}
