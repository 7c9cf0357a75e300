//! A berth as one line of a table.

use crate::types::Berth;
use std::sync::Arc;

impl Berth {
    /// All but the weight: `id service ip:port zone slots`. No part holds a space, as beats are checked for it.
    pub fn line(&self) -> String {
        format!("{} {} {} {} {}", self.id, self.service, self.address, self.zone, self.slots)
    }

    pub fn from_line(line: &str, weight: f64) -> Option<Berth> {
        let mut parts = line.split(' ');
        let mut word = || parts.next().filter(|part| !part.is_empty());
        let (id, service, address, zone, slots) = (word()?, word()?, word()?, word()?, word()?);
        if parts.next().is_some() {
            return None;
        }
        Some(Berth {
            id: Arc::from(id),
            service: Arc::from(service),
            address: address.parse().ok()?,
            zone: Arc::from(zone),
            slots: slots.parse().ok()?,
            weight,
        })
    }
}
