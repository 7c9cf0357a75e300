//! Accounts of the operator and their offices, which change their own routes.
//!
//! A [`Ledger`] is all of it, kept as one value: accounts with what they are granted, offices with their slices, keys
//! and routes. An order of the operator and a change of an office make the next ledger out of the one held, or tell
//! all that is wrong. [`join`] makes the configuration that is in force from the operator's and a ledger. No I/O, no
//! clock, no chance.

mod accounts;
mod changes;
mod fitting;
mod joining;
mod keys;
mod ledger;
mod repeats;
mod shown;
mod terms;
mod transaction;

pub use accounts::{Order, read_order};
pub use changes::{Change, Maker, Plan, Refused, plan, read_base, read_change, undo};
pub use fitting::Unfit;
pub use joining::{Joined, join};
pub use keys::KeyHash;
pub use ledger::{Account, Area, Entry, Grant, Ledger, Office, Place, Slice, UnreadableLedger};
pub use repeats::{Again, Carried, Digest, Made, Taken, idempotency_key};
pub use shown::{shown_accounts, shown_office, shown_plan, shown_stale};
pub use terms::{TERMS, Terms};
pub use transaction::{Done, Step, Transaction, Wanted, Wrote};
