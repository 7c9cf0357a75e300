//! What binds all readings.

use std::time::Duration;

/// The bounds of what is read. Whatever goes past one is refused with a fault, unless it says otherwise here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Bytes of a configuration's body.
    pub configuration_bytes: usize,
    /// Bytes of a settings file.
    pub settings_bytes: usize,
    /// Bytes of a call's body.
    pub call_bytes: usize,
    /// Brackets within brackets in a document.
    pub depth: usize,
    /// Values in a document.
    pub values: usize,
    pub routes: usize,
    pub services: usize,
    pub customers: usize,
    /// Keys of one customer.
    pub customer_keys: usize,
    /// Columns that a table of the configuration may have.
    pub columns: usize,
    /// Services among which one route may be shared out.
    pub sorting: usize,
    /// Bytes of a name, a host, a prefix or a path in settings and configurations.
    pub name_bytes: usize,
    /// Bytes of an id, a service or a zone in a server's beat, and of a lock's holder.
    pub id_bytes: usize,
    /// Bytes of a key's value.
    pub value_bytes: usize,
    /// The longest time; longer ones are cut to it, only the hold of a lock is refused.
    pub longest: Duration,
    /// Zones in a settings file.
    pub zones: usize,
    /// Seeds in a settings file; more are left unread.
    pub seeds: usize,
    /// Faults that are told one by one; the rest is only counted.
    pub faults: usize,
}

/// The terms that all readings keep.
pub const TERMS: Terms = Terms {
    configuration_bytes: 16 << 20,
    settings_bytes: 1 << 20,
    call_bytes: 64 << 10,
    depth: 32,
    values: 1_000_000,
    routes: 20_000,
    services: 1000,
    customers: 50_000,
    customer_keys: 64,
    columns: 64,
    sorting: 64,
    name_bytes: 256,
    id_bytes: 128,
    value_bytes: 4096,
    longest: Duration::from_secs(24 * 3600),
    zones: 1000,
    seeds: 16,
    faults: 50,
};

impl Default for Terms {
    fn default() -> Self {
        TERMS
    }
}
