//! What would come of a configuration that is handed in.

use crate::diff::{Diff, diff, same_but_edition};
use crate::told::Changed;
use fallgap_config::Configuration;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display};

/// Routes named in a line; the others are counted.
const NAMED: usize = 5;

#[derive(Clone, Debug, PartialEq)]
pub struct Plan<'a> {
    pub diff: Diff<'a>,
    /// Why it would not be taken, or would change nothing.
    pub refused: Vec<String>,
    /// What clients would meet.
    pub warned: Vec<String>,
}

/// `bytes`: of the file; `most`: of a register. `open`: open servers of each service, if they are known.
pub fn plan<'a>(
    held: &'a Configuration, new: &'a Configuration, bytes: usize, most: usize,
    open: Option<&BTreeMap<String, u64>>,
) -> Plan<'a> {
    let diff = diff(held, new);
    let (mut refused, mut warned) = (Vec::new(), Vec::new());
    if bytes > most {
        refused.push(format!("the file has {bytes} bytes, and {most} are taken at most: 413"));
    }
    if new.edition <= held.edition {
        let (new, held) = (new.edition, held.edition);
        refused.push(format!(
            "edition {new} is not above {held}, which is held: it would be acknowledged and change nothing"
        ));
    } else if same_but_edition(&diff) {
        warned.push("nothing but the edition differs".to_owned());
    }
    if new.routes.is_empty() {
        warned.push("it has no route: no supervisor would be ready".to_owned());
    }
    if let Some(open) = open {
        bare(new, open, &mut warned);
    }
    let used: BTreeSet<&str> = new.routes.iter().flat_map(|r| &r.sorting).map(|(name, _)| &**name).collect();
    for service in new.services.iter().filter(|service| !used.contains(&*service.name)) {
        warned.push(format!("service {} is in no route", service.name));
    }
    Plan { diff, refused, warned }
}

/// Routes that no server could answer.
fn bare(new: &Configuration, open: &BTreeMap<String, u64>, warned: &mut Vec<String>) {
    let served = |name: &str| open.get(name).is_some_and(|count| *count > 0);
    let refuses =
        new.routes.iter().filter(|r| !r.sorting.iter().any(|(name, share)| *share > 0.0 && served(name)));
    let names: Vec<String> = refuses.map(|r| format!("{}{}", r.depot, r.lane_prefix)).collect();
    if !names.is_empty() {
        let shown = names.iter().take(NAMED).cloned().collect::<Vec<_>>().join(", ");
        let more = names.len().saturating_sub(NAMED);
        let more = if more > 0 { format!(" and {more} more") } else { String::new() };
        warned.push(format!("no open server is known for {shown}{more}: requests would get 503"));
    }
}

/// A plan for programs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Planned {
    pub held: u64,
    pub new: u64,
    pub changed: Changed,
    /// As for people, a thing a line.
    pub changes: Vec<String>,
    pub refused: Vec<String>,
    pub warned: Vec<String>,
}

impl Plan<'_> {
    pub fn planned(&self) -> Planned {
        Planned {
            held: self.diff.editions.0,
            new: self.diff.editions.1,
            changed: self.diff.changed(),
            changes: self.diff.to_string().lines().skip(1).map(str::to_owned).collect(),
            refused: self.refused.clone(),
            warned: self.warned.clone(),
        }
    }

    /// It would be taken, and come in force.
    pub fn is_good(&self) -> bool {
        self.refused.is_empty()
    }
}

impl Display for Plan<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.diff)?;
        for why in &self.refused {
            writeln!(f, "refused: {why}")?;
        }
        for why in &self.warned {
            writeln!(f, "note: {why}")?;
        }
        write!(f, "{}", if self.is_good() { "it would be taken" } else { "it would not come in force" })
    }
}
