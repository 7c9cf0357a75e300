//! A file against the configuration that is held, and the editions that were.

use super::pages::one;
use super::{Asked, judged, servers, shown};
use crate::ask::{self, Failed};
use fallgap_admin as desk;
use fallgap_config::{Configuration, read_configuration};
use std::collections::BTreeMap;
use std::path::Path;

/// What is held, read at a majority; an empty one of edition 0 if there is none yet.
fn held(asked: &Asked) -> Result<Configuration, Failed> {
    let mut last = Failed::Nowhere;
    for at in &asked.at {
        match ask::get(*at, "/-/config/get") {
            Ok(body) => return read_configuration(body.as_bytes()).map_err(|_| Failed::Odd(*at)),
            Err(Failed::Refused(_, 404, _)) => return Ok(Configuration::default()),
            Err(failed) => last = failed,
        }
    }
    Err(last)
}

fn read(file: &Path) -> Result<(usize, Configuration), Failed> {
    let body = ask::read(file)?;
    let new = read_configuration(&body).map_err(|faults| Failed::Faults(file.to_owned(), faults))?;
    Ok((body.len(), new))
}

/// Exit code 1 if they differ.
pub fn difference(asked: &Asked, file: &Path) -> Result<String, Failed> {
    let (bytes, new) = read(file)?;
    let held = held(asked)?;
    let plan = desk::plan(&held, &new, bytes, usize::MAX, None);
    let text = shown(asked, &plan.planned(), || plan.diff.to_string().trim_end().to_owned())?;
    judged(text, desk::same_but_edition(&plan.diff))
}

/// Exit code 1 if it would not come in force.
pub fn planned(asked: &Asked, file: &Path) -> Result<String, Failed> {
    let (bytes, new) = read(file)?;
    let held = held(asked)?;
    let mut open: BTreeMap<String, u64> = BTreeMap::new();
    for server in servers(asked)?.servers.into_iter().filter(|server| server.state == "open") {
        *open.entry(server.service).or_default() += 1;
    }
    let most = fallgap_control_state::subjects::Limits::default().config_bytes;
    let plan = desk::plan(&held, &new, bytes, most, Some(&open));
    let good = plan.is_good();
    judged(shown(asked, &plan.planned(), || plan.to_string())?, good)
}

pub fn history(asked: &Asked) -> Result<String, Failed> {
    let (_, editions): (_, desk::Editions) = one(asked, "/-/desk/history")?;
    shown(asked, &editions, || desk::history_table(&editions))
}
