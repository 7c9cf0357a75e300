//! The desk's commands: each asks one node, and prints what `fallgap-admin` makes of the answer. None changes anything.

mod config;
mod pages;

use crate::ask::Failed;
use clap::{Args, Subcommand};
use fallgap_admin as desk;
use pages::{all, one};
use serde::Serialize;
use std::net::SocketAddrV4;

pub use config::{difference, history, planned};

#[derive(Args)]
pub struct Asked {
    /// A supervisor's control address; more than one are tried in turn until one answers
    #[arg(long, required = true)]
    pub at: Vec<SocketAddrV4>,
    /// Print JSON
    #[arg(long)]
    pub json: bool,
    /// Print so many rows at most
    #[arg(long, default_value_t = 10_000)]
    pub most: usize,
}

#[derive(Subcommand)]
pub enum Fleet {
    /// The fleet in a few lines
    Status {
        #[command(flatten)]
        asked: Asked,
    },
    /// Every supervisor, by its own word where it gives one
    Nodes {
        #[command(flatten)]
        asked: Asked,
    },
    /// The servers, as the asked node has them
    Servers {
        #[command(flatten)]
        asked: Asked,
    },
    /// The routes in force at the asked node, with the open servers of each
    Routes {
        #[command(flatten)]
        asked: Asked,
    },
    /// The locks, as one keeper's disk has them
    Locks {
        #[command(flatten)]
        asked: Asked,
    },
}

/// The recent troubles that `why` without an id shows.
const RECENT: usize = 5;

/// As a program wants it, or as people do.
fn shown<T: Serialize>(asked: &Asked, told: &T, text: impl FnOnce() -> String) -> Result<String, Failed> {
    if asked.json { sonic_rs::to_string(told).map_err(|_| Failed::Nowhere) } else { Ok(text()) }
}

/// What was found is not in order, or is.
fn judged(text: String, in_order: bool) -> Result<String, Failed> {
    if in_order { Ok(text) } else { Err(Failed::NotInOrder(text)) }
}

fn nodes(asked: &Asked) -> Result<desk::Fleet, Failed> {
    all(asked, "/-/desk/fleet")
}

fn servers(asked: &Asked) -> Result<desk::Servers, Failed> {
    all(asked, "/-/desk/servers")
}

pub fn fleet(what: &Fleet) -> Result<String, Failed> {
    match what {
        Fleet::Status { asked } => {
            let summary = desk::Summary::of(&nodes(asked)?);
            shown(asked, &summary, || summary.to_string())
        }
        Fleet::Nodes { asked } => {
            let nodes = nodes(asked)?;
            shown(asked, &nodes, || desk::nodes_table(&nodes))
        }
        Fleet::Servers { asked } => {
            let servers = servers(asked)?;
            shown(asked, &servers, || desk::servers_table(&servers))
        }
        Fleet::Routes { asked } => {
            let routes: desk::Routes = all(asked, "/-/desk/routes")?;
            shown(asked, &routes, || desk::routes_table(&routes))
        }
        Fleet::Locks { asked } => {
            let locks: desk::Locks = all(asked, "/-/desk/locks")?;
            judged(shown(asked, &locks, || desk::locks_table(&locks))?, locks.keeper.is_some())
        }
    }
}

fn tales(asked: &Asked, id: Option<&str>) -> Result<desk::Tales, Failed> {
    let query = id.map(|id| format!("?id={}", pages::quoted(id))).unwrap_or_default();
    one(asked, &format!("/-/desk/tales{query}")).map(|(_, tales)| tales)
}

pub fn trace(asked: &Asked, id: &str) -> Result<String, Failed> {
    let tales = tales(asked, Some(id))?;
    judged(shown(asked, &tales, || desk::tales_text(&tales))?, !tales.tales.is_empty())
}

pub fn why(asked: &Asked, id: Option<&str>) -> Result<String, Failed> {
    let mut tales = tales(asked, id)?;
    if id.is_some() {
        return judged(shown(asked, &tales, || desk::why_text(&tales))?, !tales.tales.is_empty());
    }
    let fleet = nodes(asked)?;
    let own = fleet.nodes.into_iter().find(|node| Some(node.node) == fleet.asked);
    let ready = own.as_ref().and_then(|own| own.standing.as_ref()).is_some_and(|own| own.ready);
    let early = tales.tales.len().saturating_sub(RECENT);
    tales.tales.drain(..early);
    let text = shown(asked, &(&own, &tales), || {
        let own = own.as_ref().map(desk::node_text).unwrap_or_default();
        if tales.tales.is_empty() {
            return own;
        }
        format!("{own}\nThe last requests that met something:\n{}", desk::why_text(&tales))
    })?;
    judged(text, ready)
}

/// Exit code 1 if nobody knows of it.
pub fn operation(asked: &Asked, customer: &str, key: &str) -> Result<String, Failed> {
    let id = fallgap_proxy::operation_of(customer, key).digits();
    let (_, operation): (_, desk::Operation) = one(asked, &format!("/-/desk/operation?id={id}"))?;
    let is_known = !operation.seen.is_empty();
    judged(shown(asked, &operation, || desk::operation_text(&operation))?, is_known)
}

pub fn doctor(asked: &Asked) -> Result<String, Failed> {
    let fleet = nodes(asked)?;
    let found = desk::examine(&fleet);
    judged(shown(asked, &found, || desk::findings_text(&found, &fleet))?, found.is_empty())
}
