//! The configuration that is in force: the operator's, with the routes of offices that fit into it.

use crate::fitting::{Ground, Unfit, place_of};
use crate::ledger::{Account, Ledger, Place};
use fallgap_config::{Configuration, Licence, Licences, Route, place};
use std::sync::Arc;

#[derive(Clone, Debug, PartialEq)]
pub struct Joined {
    pub configuration: Configuration,
    /// Routes that are not in force, each with its office and all reasons.
    pub unfit: Vec<(String, Place, Vec<Unfit>)>,
}

/// The same from the same, whoever asks. The operator's routes are all in force, as they stand.
pub fn join(operator: &Configuration, ledger: &Ledger) -> Joined {
    let ground = Ground::new(operator, ledger);
    let mut offices: Vec<Licence> = Vec::new();
    let mut routes: Vec<(Route, Option<usize>)> = operator.routes.iter().map(|r| (r.clone(), None)).collect();
    let mut unfit = Vec::new();
    let names: Vec<&String> = ledger.accounts.values().flat_map(|account| account.offices.keys()).collect();
    let mut sorted = names.clone();
    sorted.sort_unstable();
    for (account, of_account) in ledger.accounts.values().enumerate() {
        let mut in_account = 0;
        for (name, office) in &of_account.offices {
            let Ok(owner) = sorted.binary_search(&name) else { continue };
            let allowance = office.slice.allowance.clone();
            offices.push(Licence { name: Arc::from(name.as_str()), account, allowance });
            let mut in_office = 0;
            for route in &office.routes {
                let mut why = ground.unfit(of_account, name, office, route);
                if why.is_empty() {
                    why.extend(full(of_account, office.slice.allowance.routes, in_office, in_account));
                    why.extend((routes.len() >= fallgap_config::TERMS.routes).then_some(Unfit::Full));
                }
                if why.is_empty() {
                    routes.push((route.clone(), Some(owner)));
                    (in_office, in_account) = (in_office + 1, in_account + 1);
                } else {
                    unfit.push((name.clone(), place_of(route), why));
                }
            }
        }
    }
    offices.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    routes.sort_by(|(a, _), (b, _)| place(a).cmp(&place(b)));
    let (routes, owners) = routes.into_iter().unzip();
    let accounts =
        ledger.accounts.iter().map(|(id, of)| (Arc::from(id.as_str()), of.grant.allowance.clone()));
    let accounts = accounts.collect();
    let licences = Licences { revision: ledger.revision, accounts, offices, owners };
    let licences = (ledger.revision > 0).then(|| Arc::new(licences));
    Joined { configuration: Configuration { routes, licences, ..operator.clone() }, unfit }
}

fn full(account: &Account, of_office: u32, in_office: u32, in_account: u32) -> Option<Unfit> {
    let of_account = account.grant.allowance.routes;
    if in_office >= of_office {
        return Some(Unfit::OfficeFull(of_office));
    }
    (in_account >= of_account).then_some(Unfit::AccountFull(of_account))
}
