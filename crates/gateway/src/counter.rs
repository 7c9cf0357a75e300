//! What an office, and the operator of accounts, ask at the prompt.

use crate::ask::{Failed, agent, read, said};
use clap::{Args, Subcommand};
use fallgap_tenants::KeyHash;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value, pointer};
use std::io::Read;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub enum Account {
    /// Draw a key for an office: what the office keeps, and the hash that goes into its account
    Key,
    /// List accounts and offices
    List {
        /// A supervisor's control address
        #[arg(long)]
        at: SocketAddrV4,
    },
    /// Hand an account in; returns when it is kept for good
    Put {
        /// A supervisor's control address
        #[arg(long)]
        at: SocketAddrV4,
        account: String,
        file: PathBuf,
    },
}

#[derive(Subcommand)]
pub enum Office {
    /// The office's routes
    Routes {
        #[command(subcommand)]
        verb: Routes,
    },
}

/// Whose routes, and where they are asked for.
#[derive(Args)]
pub struct Whose {
    /// A supervisor's control address
    #[arg(long)]
    at: SocketAddrV4,
    /// The office
    #[arg(long)]
    office: String,
    /// A file with the office's key
    #[arg(long)]
    key: PathBuf,
}

#[derive(Subcommand)]
pub enum Routes {
    /// One line for each route, and for each that is not in force the reasons
    List {
        #[command(flatten)]
        whose: Whose,
    },
    /// All that is known of the office, as JSON
    Show {
        #[command(flatten)]
        whose: Whose,
    },
    /// Check a change and tell what it would do
    Plan {
        #[command(flatten)]
        whose: Whose,
        file: PathBuf,
    },
    /// Apply a change as a whole, or tell all that is wrong with it
    Apply {
        #[command(flatten)]
        whose: Whose,
        file: PathBuf,
    },
    /// Take the newest change back
    Undo {
        #[command(flatten)]
        whose: Whose,
        /// The edition that the newest change made
        #[arg(long)]
        base: u64,
    },
}

impl Whose {
    fn call(&self, verb: &str, body: Option<&[u8]>) -> Result<String, Failed> {
        let key = String::from_utf8_lossy(&read(&self.key)?).trim().to_owned();
        let Whose { at, office, .. } = self;
        let path = format!("http://{at}/-/offices/{office}/routes{verb}");
        said(
            *at,
            match body {
                None => agent().get(path).header("X-Office-Key", key).call(),
                Some(body) => agent().post(path).header("X-Office-Key", key).send(body),
            },
        )
    }
}

pub fn account(asked: Account) -> Result<String, Failed> {
    match asked {
        Account::Key => draw_key(),
        Account::List { at } => said(at, agent().get(format!("http://{at}/-/accounts")).call()),
        Account::Put { at, account, file } => {
            let call = agent().post(format!("http://{at}/-/accounts/{account}/put"));
            said(at, call.send(&read(&file)?[..]))
        }
    }
}

pub fn office(Office::Routes { verb }: Office) -> Result<String, Failed> {
    match verb {
        Routes::List { whose } => Ok(lines(&whose.call("", None)?)),
        Routes::Show { whose } => whose.call("", None),
        Routes::Plan { whose, file } => whose.call("/plan", Some(&read(&file)?)),
        Routes::Apply { whose, file } => whose.call("/put", Some(&read(&file)?)),
        Routes::Undo { whose, base } => whose.call("/undo", Some(format!("{{\"base\":{base}}}").as_bytes())),
    }
}

fn draw_key() -> Result<String, Failed> {
    let source = Path::new("/dev/urandom");
    let mut drawn = [0; 32];
    let mut read = || std::fs::File::open(source)?.read_exact(&mut drawn);
    read().map_err(|e| Failed::File(source.to_owned(), e))?;
    let key: String = drawn.iter().map(|byte| format!("{byte:02x}")).collect();
    Ok(format!("key {key}\nhash {}", KeyHash::of(&key)))
}

/// What an office has, in lines.
fn lines(shown: &str) -> String {
    let Ok(shown) = sonic_rs::from_str::<Value>(shown) else { return shown.to_owned() };
    let list = |value: Option<&Value>| -> Vec<Value> {
        value.and_then(|v| v.as_array()).map(|list| list.iter().cloned().collect()).unwrap_or_default()
    };
    let word = |value: Option<&Value>| value.and_then(|v| v.as_str()).unwrap_or("?").to_owned();
    let mut out = Vec::new();
    out.push(format!("edition {}", shown.pointer(pointer!["edition"]).and_then(|v| v.as_u64()).unwrap_or(0)));
    for row in &list(shown.pointer(pointer!["routes", "entries"])) {
        let sorting = list(row.pointer(pointer![8]));
        let to = sorting.iter().map(|to| {
            let share = to.pointer(pointer!["share"]).and_then(|v| v.as_f64()).unwrap_or_default();
            format!("{}={share}", word(to.pointer(pointer!["service"])))
        });
        let (depot, prefix) = (word(row.pointer(pointer![1])), word(row.pointer(pointer![2])));
        let class = word(row.pointer(pointer![3]));
        out.push(format!("{depot}{prefix} {class} {}", to.collect::<Vec<_>>().join(" ")));
    }
    for unfit in &list(shown.pointer(pointer!["unfit"])) {
        let why = list(unfit.pointer(pointer!["why"]));
        let why: Vec<String> = why.iter().map(|why| word(Some(why))).collect();
        let (depot, prefix) =
            (word(unfit.pointer(pointer!["depot"])), word(unfit.pointer(pointer!["lane_prefix"])));
        out.push(format!("not in force: {depot}{prefix}: {}", why.join("; ")));
    }
    out.join("\n")
}

#[cfg(test)]
#[path = "../tests/inner/counter.rs"]
mod tests;
