//! Orders of the operator: an account as a whole, with what it is granted and its offices.

use crate::keys::KeyHash;
use crate::ledger::{Account, Area, Grant, Ledger, Office, Slice};
use crate::repeats::{Carried, Digest, Taken};
use crate::terms::TERMS;
use fallgap_config::document::{Field, Spot, WHOLE, count, document, number, whole};
use fallgap_config::{Allowance, Faults, RouteClass, What, class, host, prefix};
use serde::Serialize;
use sonic_rs::{JsonValueTrait, Value};
use std::collections::{BTreeMap, BTreeSet};

/// An account as the operator wants it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Order {
    pub edition: u64,
    pub grant: Grant,
    pub offices: BTreeMap<String, Slice>,
}

const ID: &str = "a name of letters, digits, dots, dashes and underscores";

/// It stands in paths and in notes.
fn id(value: &Value) -> Option<String> {
    let stands = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
    let text = value.as_str().filter(|text| text.bytes().all(stands) && fallgap_config::is_name(text))?;
    Some(text.to_owned())
}

/// Reads the body of an order for the account `account`, and checks it against all other accounts if it is to be
/// carried out.
pub fn read_order(account: &str, body: &[u8], ledger: &Ledger) -> Result<Order, Faults> {
    let document = document(body, fallgap_config::TERMS.configuration_bytes)?;
    let top = Field::top(&document);
    let mut faults = Faults::default();
    let path: Value = Value::from(account);
    Field::new(Some(&path), top.spot.key("(path)")).must(&mut faults, ID, id);
    let edition = top.field("edition").must(&mut faults, WHOLE, whole).unwrap_or_default();
    let grant = read_grant(&top, &mut faults);
    let mut offices = BTreeMap::new();
    let listed = top.field("offices");
    let mut at = 0;
    listed.elements(&mut faults, TERMS.offices, |faults, field| {
        let name = field.field("id").must(faults, ID, id).unwrap_or_default();
        let slice = read_slice(&field, &grant, faults);
        if !name.is_empty() && offices.insert(name, slice).is_some() {
            faults.add(&field.spot.key("id"), What::Against("named twice in this account".into()));
        }
        at += 1;
    });
    if at > grant.offices as usize {
        faults.add(&listed.spot, What::TooMany(grant.offices as usize));
    }
    let order = Order { edition, grant, offices };
    // One that has come before, or too late, changes nothing: what others have by now is no reason to refuse it.
    if ledger.accounts.get(account).is_none_or(|held| held.edition < order.edition) {
        against_others(account, &order, ledger, &top.spot, &mut faults);
    }
    faults.or(order)
}

fn read_grant(top: &Field<'_, '_>, faults: &mut Faults) -> Grant {
    let mut services = BTreeMap::new();
    top.field("services").elements(faults, TERMS.services, |faults, field| {
        let name = field.field("service").name(faults);
        let share = |v: &Value| number(v).filter(|share| *share > 0.0 && *share <= 1.0);
        let share = field.field("share").may(faults, "a share above 0, 1 at most", share).unwrap_or(1.0);
        services.insert(name, share);
    });
    let mut classes = BTreeSet::new();
    top.field("classes").elements(faults, RouteClass::ALL.len(), |faults, field| {
        classes.extend(field.must(faults, "safe, fragile, outbound or registered", class));
    });
    let mut figure = |key: &str, usual: u32, most: u32| {
        top.field(key).may(faults, "a number", |v| count(v, 0, most)).unwrap_or(usual)
    };
    let offices = figure("offices_most", TERMS.usual_offices, TERMS.offices as u32);
    let priority = figure("priority", u32::from(TERMS.usual_priority), u32::from(u8::MAX));
    let attempts = figure("attempts", TERMS.usual_attempts, u32::MAX);
    Grant {
        areas: read_areas(&top.field("areas"), faults),
        services,
        classes,
        offices,
        priority: u8::try_from(priority).unwrap_or(u8::MAX),
        attempts,
        allowance: Allowance::read(&top.field("limits"), faults),
    }
}

fn read_areas(field: &Field<'_, '_>, faults: &mut Faults) -> Vec<Area> {
    let mut areas = Vec::new();
    field.elements(faults, TERMS.areas, |faults, field| {
        let depot = field.field("depot").must(faults, "a host", host);
        let prefix = field.field("lane_prefix").must(faults, "a prefix between slashes", prefix);
        areas.extend(depot.zip(prefix).map(|(depot, prefix)| Area { depot, prefix }));
    });
    areas
}

fn read_slice(field: &Field<'_, '_>, grant: &Grant, faults: &mut Faults) -> Slice {
    let areas = read_areas(&field.field("areas"), faults);
    for area in &areas {
        if !grant.areas.iter().any(|of_account| of_account.holds(&area.depot, &area.prefix)) {
            let what = format!("{}{} is in no area of the account", area.depot, area.prefix);
            faults.add(&field.spot.key("areas"), What::Against(what));
        }
    }
    let mut keys = Vec::new();
    field.field("keys").elements(faults, TERMS.keys, |faults, key| {
        let hash = |v: &Value| KeyHash::read(v.as_str()?);
        match key.value.filter(|v| hash(v).is_none()) {
            // What is found may be the key itself: it is not told.
            Some(_) => {
                faults.add(&key.spot, What::Against("expected a key's hash, 64 hexadecimal digits".into()))
            }
            None => keys.extend(key.must(faults, "a key's hash", hash)),
        }
    });
    Slice { areas, allowance: Allowance::read(&field.field("limits"), faults), keys }
}

/// What other accounts have already: no area, office or key may be of two.
fn against_others(account: &str, order: &Order, ledger: &Ledger, top: &Spot<'_>, faults: &mut Faults) {
    if ledger.accounts.len() >= TERMS.accounts && !ledger.accounts.contains_key(account) {
        faults.add(top, What::TooMany(TERMS.accounts));
    }
    let others = || ledger.accounts.iter().filter(|(id, _)| *id != account);
    for (at, area) in order.grant.areas.iter().enumerate() {
        for (id, other) in others() {
            if other.grant.areas.iter().any(|held| held.meets(area)) {
                let what = format!("{}{} is granted to account {id}", area.depot, area.prefix);
                faults.add(&top.key("areas").at(at), What::Against(what));
            }
        }
    }
    let mut keys: BTreeSet<&KeyHash> = BTreeSet::new();
    for (id, other) in others() {
        for (name, office) in &other.offices {
            keys.extend(&office.slice.keys);
            if order.offices.contains_key(name) {
                let what = format!("{name} is an office of account {id}");
                faults.add(&top.key("offices"), What::Against(what));
            }
        }
    }
    for (name, slice) in &order.offices {
        let again = slice.keys.iter().filter(|key| !keys.insert(key)).count();
        if again > 0 {
            let what = format!("a key of {name} stands twice");
            faults.add(&top.key("offices"), What::Against(what));
        }
    }
}

impl Order {
    /// The ledger with this order carried out, if its edition is above the one held. Offices that it does not name are
    /// gone, with their routes. One edition of an account has one content.
    pub fn carried_out(self, ledger: &Ledger, account: &str) -> Carried {
        let digest = Digest::of(&self);
        let held = ledger.accounts.get(account);
        if let Some(held) = held.filter(|held| held.edition >= self.edition) {
            let edition = held.edition;
            let mut newest = ledger.taken.iter().rev();
            return match newest.find(|taken| taken.account == account && taken.edition == self.edition) {
                Some(taken) if taken.digest == digest => Carried::Again { touched: taken.touched as usize },
                Some(_) => Carried::Differs { edition },
                None if self.edition < edition => Carried::Overtaken { edition },
                None if held.is_as_ordered(&self) => Carried::Again { touched: held.routes() },
                None => Carried::Differs { edition },
            };
        }
        let mut next = ledger.clone();
        next.revision += 1;
        let touched = held.map_or(0, Account::routes) as u64;
        let taken = Taken { account: account.to_owned(), edition: self.edition, digest, touched };
        next.taken.push_back(taken);
        while next.taken.len() > TERMS.orders {
            next.taken.pop_front();
        }
        let mut before = next.accounts.remove(account).map(|held| held.offices).unwrap_or_default();
        let offices = self.offices.into_iter().map(|(name, slice)| {
            let held = before.remove(&name);
            let office = match held {
                Some(held) => Office { slice, ..held },
                None => Office::new(slice),
            };
            (name, office)
        });
        let offices = offices.collect();
        let account = (account.to_owned(), Account { edition: self.edition, grant: self.grant, offices });
        next.accounts.extend([account]);
        // An office that is gone may come again under its name, and begins anew.
        let made = std::mem::take(&mut next.made);
        next.made = made.into_iter().filter(|made| next.office(&made.office).is_some()).collect();
        Carried::Out(next)
    }

    /// Fault for an order that makes the ledger larger than a register takes.
    pub fn fits(next: &Ledger) -> Result<(), Faults> {
        let mut faults = Faults::default();
        if next.encode().len() > TERMS.bytes {
            faults.add(&Spot::TOP, What::TooLarge(TERMS.bytes));
        }
        faults.or(())
    }
}

impl Account {
    /// Whether it stands as this order has it.
    fn is_as_ordered(&self, order: &Order) -> bool {
        let slices = self.offices.iter().map(|(name, office)| (name, &office.slice));
        self.edition == order.edition && self.grant == order.grant && slices.eq(order.offices.iter())
    }
}
