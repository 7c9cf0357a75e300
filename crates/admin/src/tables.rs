//! Tables for people.

use crate::status::{age, asked, fleet_line};
use crate::told::{Editions, Fleet, Locks, Node, Routes, Servers};
use comfy_table::{Table, presets};

fn table(heads: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(heads.iter().copied());
    table
}

/// Without spaces at the ends of lines: they say nothing and hurt where text is compared.
fn text(table: &Table, last: &str) -> String {
    let body: Vec<String> = table.to_string().lines().map(|line| line.trim_end().to_owned()).collect();
    format!("{}\n{last}", body.join("\n"))
}

fn yes(so: bool, word: &str) -> String {
    if so { word.into() } else { "-".into() }
}

pub fn nodes_table(fleet: &Fleet) -> String {
    let heads = [
        "node", "zone", "state", "since", "edition", "table", "home", "servers", "keeper", "ready", "at work",
    ];
    let mut table = table(&heads);
    for node in &fleet.nodes {
        table.add_row(node_row(node));
    }
    text(&table, &fleet_line(fleet))
}

fn node_row(node: &Node) -> Vec<String> {
    let own = node.standing.as_ref();
    let known = |text: Option<String>| text.unwrap_or_else(|| "?".into());
    let state = if node.leaving { format!("{}, leaving", node.state) } else { node.state.clone() };
    let keeper = own.map(|own| match (own.disk, own.keeper, own.settled) {
        (false, ..) => "-".into(),
        (true, false, _) => "stands by".into(),
        (true, true, false) => "cut off".into(),
        (true, true, true) => "counts".to_owned(),
    });
    vec![
        node.node.to_string(),
        node.zone.clone(),
        state,
        age(Some(node.since_ms)),
        known(own.map(|own| own.edition.to_string())),
        known(own.map(|own| age(own.table_age_ms))),
        known(own.map(|own| own.home.map_or("-".into(), |home| home.to_string()))),
        known(own.map(|own| own.servers.to_string())),
        known(keeper.or_else(|| Some(if node.disk { "disk?" } else { "-" }.to_owned()))),
        known(own.map(|own| yes(own.ready, "yes"))),
        known(own.map(|own| own.at_work.to_string())),
    ]
}

pub fn servers_table(servers: &Servers) -> String {
    let heads = [
        "server", "service", "address", "zone", "slots", "weight", "state", "heard", "here", "at work",
        "usual",
    ];
    let mut table = table(&heads);
    for s in &servers.servers {
        table.add_row(vec![
            s.id.clone(),
            s.service.clone(),
            s.address.clone(),
            s.zone.clone(),
            s.slots.to_string(),
            s.weight.map_or("-".into(), |weight| format!("{weight:.2}")),
            s.state.clone(),
            s.heard_ms.map_or("-".into(), |ms| age(Some(ms))),
            s.health.clone().unwrap_or_else(|| "-".into()),
            s.at_work.to_string(),
            s.usual_ms.map_or("-".into(), |ms| format!("{ms:.0} ms")),
        ]);
    }
    let from = if servers.keeper { "a keeper's list and table" } else { "its table" };
    let (node, old) = (asked(servers.asked), confirmed(servers.table_age_ms));
    text(&table, &format!("{} servers, from 1 node: {node}, {from}, {old}", servers.servers.len()))
}

pub fn routes_table(routes: &Routes) -> String {
    let heads = ["route", "host", "prefix", "class", "timeout", "target", "rank", "tries", "services"];
    let mut table = table(&heads);
    for r in &routes.routes {
        let target = |t: &crate::told::Target| format!("{} {} ({} open)", t.service, t.share, t.open);
        table.add_row(vec![
            r.name.clone(),
            r.host.clone(),
            r.prefix.clone(),
            r.class.clone(),
            age(Some(r.timeout_ms)),
            format!("{} ms", r.target_ms),
            r.priority.to_string(),
            r.attempts.to_string(),
            r.services.iter().map(target).collect::<Vec<_>>().join(", "),
        ]);
    }
    let (count, node, old) = (routes.routes.len(), asked(routes.asked), confirmed(routes.table_age_ms));
    let edition = routes.edition;
    text(&table, &format!("{count} routes of edition {edition}, from 1 node: {node}, {old}"))
}

pub fn locks_table(locks: &Locks) -> String {
    let mut table = table(&["lock", "holder", "fence", "held for"]);
    for lock in &locks.locks {
        let (holder, left) = match &lock.holder {
            Some(holder) if lock.left_ms > 0 => {
                (holder.clone(), format!("{} at most", age(Some(lock.left_ms))))
            }
            Some(holder) => (holder.clone(), "over".into()),
            None => ("-".into(), "-".into()),
        };
        table.add_row(vec![lock.name.clone(), holder, lock.fence.to_string(), left]);
    }
    let last = match (locks.keeper, locks.settled) {
        (None, _) => "no keeper has answered: nothing is known of locks".to_owned(),
        (Some(keeper), true) => format!("{} locks, from 1 node: the disk of {keeper}", locks.locks.len()),
        (Some(keeper), false) => {
            let count = locks.locks.len();
            format!(
                "{count} locks, from 1 node: the disk of {keeper}, which is cut off: it may be far behind"
            )
        }
    };
    text(&table, &last)
}

pub fn history_table(editions: &Editions) -> String {
    let mut table =
        table(&["edition", "in force for", "wall clock", "routes", "services", "against the one before"]);
    for e in &editions.editions {
        table.add_row(vec![
            e.edition.to_string(),
            age(Some(e.ago_ms)),
            time_of_day(e.wall_ms),
            e.routes.to_string(),
            e.services.to_string(),
            e.changed.map_or("first since the start".into(), |changed| changed.to_string()),
        ]);
    }
    let (node, up) = (asked(editions.asked), age(Some(editions.up_ms)));
    text(&table, &format!("from 1 node: {node}, in memory, since its start {up} ago"))
}

fn confirmed(table: Option<u64>) -> String {
    table.map_or("never confirmed".into(), |ms| format!("confirmed {} ago", age(Some(ms))))
}

/// Of the day in UTC.
fn time_of_day(wall_ms: u64) -> String {
    let s = wall_ms / 1000 % 86_400;
    format!("{:02}:{:02}:{:02} UTC", s / 3600, s / 60 % 60, s % 60)
}
