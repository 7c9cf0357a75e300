//! Answers that come in pages.

use super::Asked;
use crate::ask::{self, Failed};
use fallgap_admin as desk;
use serde::de::DeserializeOwned;
use std::fmt::Write;
use std::net::SocketAddrV4;

/// One answer, of the first address that has one, and which that was.
pub fn one<T: DeserializeOwned>(asked: &Asked, path: &str) -> Result<(SocketAddrV4, T), Failed> {
    let mut last = Failed::Nowhere;
    for at in &asked.at {
        match page(*at, path) {
            Ok(told) => return Ok((*at, told)),
            Err(failed) => last = failed,
        }
    }
    Err(last)
}

fn page<T: DeserializeOwned>(at: SocketAddrV4, path: &str) -> Result<T, Failed> {
    let body = ask::get(at, path)?;
    sonic_rs::from_str(&body).map_err(|_| Failed::Odd(at))
}

/// What comes in pages.
pub trait Paged: DeserializeOwned {
    /// Where the next page begins, and how many rows there are.
    fn next(&self) -> Option<String>;
    fn rows(&self) -> usize;
    /// Puts the next page to what is there.
    fn add(&mut self, page: Self);
}

macro_rules! paged {
    ($page:ty, $rows:ident $(, longest $wait:ident)?) => {
        impl Paged for $page {
            fn next(&self) -> Option<String> {
                self.next.as_ref().map(ToString::to_string)
            }
            fn rows(&self) -> usize {
                self.$rows.len()
            }
            fn add(&mut self, page: Self) {
                let $rows = std::mem::take(&mut self.$rows);
                $(let $wait = self.$wait.max(page.$wait);)?
                *self = page;
                $(self.$wait = $wait;)?
                self.$rows.splice(0..0, $rows);
            }
        }
    };
}

paged!(desk::Fleet, nodes, longest waited_ms);
paged!(desk::Servers, servers);
paged!(desk::Routes, routes);
paged!(desk::Locks, locks);

/// All pages, of one address, until there are as many rows as are wanted or none come.
pub fn all<T: Paged>(asked: &Asked, path: &str) -> Result<T, Failed> {
    let (at, mut whole) = one::<T>(asked, path)?;
    while let Some(after) = whole.next().filter(|_| whole.rows() < asked.most) {
        let page: T = page(at, &format!("{path}?after={}", quoted(&after)))?;
        if page.rows() == 0 {
            break;
        }
        whole.add(page);
    }
    Ok(whole)
}

/// A text as it stands in a query.
pub fn quoted(text: &str) -> String {
    let mut quoted = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            quoted.push(char::from(byte));
        } else {
            // Writing to a text does not fail.
            let _ = write!(quoted, "%{byte:02X}");
        }
    }
    quoted
}
