//! The operator's file, in [KDL 2](https://kdl.dev/spec/): what one installation switches on beyond the
//! settings of its platform. Each part is read into a value of its own; a part that the file does not name
//! is off or as it is without a file. Nothing is read half: all faults of a file are told at once, each with
//! line, column and what was expected, and a file with any fault is not used.
//!
//! ```
//! let read = fallgap_operator::read("membership { hold \"20m\" }").unwrap();
//! assert_eq!(read.membership.unwrap().terms.hold.as_secs(), 1200);
//! let faults = fallgap_operator::read("membership {\n  hold 20\n  hodl \"1m\"\n}").unwrap_err();
//! assert_eq!(faults.len(), 2);
//! assert!(faults[0].to_string().starts_with("2:8: found 20; expected a time"));
//! ```

mod dns;
pub mod fault;
mod membership;
pub mod reading;

pub use dns::{NameServers, Service};
pub use fault::Fault;
pub use membership::Membership;
pub use reading::{address_in_words, time_in_words};

use fault::Faults;
use reading::Fields;

/// Largest file that is read, in bytes.
pub const MOST_BYTES: usize = 1 << 20;

/// What the file switches on, part by part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Installation {
    /// `None`: as without a file.
    pub membership: Option<Membership>,
    /// `None`: no server comes from DNS.
    pub dns: Option<NameServers>,
}

impl Installation {
    /// Services in DNS that name servers.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.dns.iter().flat_map(|dns| &dns.services)
    }
}

/// Reads a whole file.
///
/// # Errors
/// All faults, in the order of the file; at least one.
pub fn read(text: &str) -> Result<Installation, Vec<Fault>> {
    let mut faults = Faults::of(text);
    if text.len() > MOST_BYTES {
        faults.add((0, 0).into(), format!("{} bytes", text.len()), format!("at most {MOST_BYTES} bytes"));
        return Err(faults.sorted());
    }
    let document = match text.parse::<kdl::KdlDocument>() {
        Ok(document) => document,
        Err(error) => return Err(faults.not_kdl(&error)),
    };
    let mut parts = Fields::of(Some(&document));
    let membership = parts.part("membership", &mut faults).map(|n| membership::read(n, &mut faults));
    let dns = parts.part("dns", &mut faults).and_then(|node| dns::read(node, &mut faults));
    parts.end(&mut faults);
    if dns.is_none() && membership.as_ref().is_some_and(|m| !m.discovery) {
        faults.add((0, 0).into(), "no source of servers", "\"discovery #true\" or a part \"dns\"");
    }
    let found = faults.sorted();
    if found.is_empty() { Ok(Installation { membership, dns }) } else { Err(found) }
}
