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
use tokio::time::{sleep, timeout};

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
            }
            // Out of descriptors, most likely: whoever leaves frees one.
            Err(e) => {
                desk.odd("accept_failed", &e.to_string());
                sleep(desk.limits.again.0).await;
            }
        }
    }
}

async fn welcome(desk: &Rc<Desk>, guests: &Guests, place: &Place, stream: TcpStream) {
    let mut first = [0];
    match timeout(desk.limits.silent_guest, stream.peek(&mut first)).await {
        Ok(Ok(1)) if first[0] == b'*' => hear(desk, guests, place, stream).await,
        Ok(Ok(1)) if first[0].is_ascii_uppercase() => page::serve(desk.clone(), stream).await,
        Ok(Ok(1)) => desk.odd("guests_unreadable", "neither RESP2 nor HTTP"),
        Ok(_) => {}
        Err(_) => desk.counters.one("guests_silent"),
    }
}

/// Reads messages until the guest leaves or cannot be read. A collector may be silent as long as it likes.
async fn hear(desk: &Desk, guests: &Guests, place: &Place, mut stream: TcpStream) {
    let limits = &desk.limits;
    let mut decoder = Decoder::new(limits.first_message, limits.words);
    let mut collector = false;
    let mut bytes = [0; 4096];
    // Without it answers still arrive, only later.
    let _ = stream.set_nodelay(true);
    loop {
        let n = match stream.read(&mut bytes).await {
            Ok(0) | Err(_) => return,
            Ok(n) => n,
        };
        let mut rest = &bytes[..n];
        while !rest.is_empty() {
            let (left, words) = match decoder.feed(rest) {
                Ok(fed) => fed,
                Err(why) => return desk.odd("guests_unreadable", &format!("{why:?}")),
            };
            rest = left;
            let Some(words) = words else { continue };
            place.heard();
            match reports::decode(&words, &desk.names, limits) {
                Ok(Message::Ping) => {
                    desk.counters.one("pings");
                    let pong = resp::encode(&["pong"]);
                    if !matches!(timeout(limits.write, stream.write_all(&pong)).await, Ok(Ok(()))) {
                        return;
                    }
                }
                Ok(Message::Collector) => {
                    desk.counters.one("collectors");
                    if !std::mem::replace(&mut collector, true) {
                        decoder.allow(limits.message);
                        guests.collects(place);
                    }
                }
                Ok(_) if !collector => desk.odd("reports_odd", "a report before its collector"),
                Ok(Message::Met { server, met, load }) => {
                    desk.counters.one("reports_met");
                    place.reported();
                    desk.report(|s, now| s.report_met(now, &server, met, load));
                }
                Ok(Message::Came { proxy, op_type, came }) => {
                    desk.counters.one("reports_came");
                    place.reported();
                    desk.report(|s, now| s.report_came(now, proxy, op_type, came));
                }
                Err(why) => desk.odd("reports_odd", &why),
            }
        }
    }
}
