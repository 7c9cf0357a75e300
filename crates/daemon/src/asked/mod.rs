//! What the program is called with. Exit codes: 0 good, 1 the thing asked about is not in order, 2 called or
//! configured wrongly, 70 a defect. What is meant for programs goes to standard output, the log to standard
//! error.

pub mod check;
pub mod resolve;

use crate::life::logger::Form;
use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// A traffic director for a fleet of sidecar proxies.
#[derive(Debug, Parser)]
#[command(name = "fallgap", version)]
pub struct Call {
    /// The operator's file: what this installation switches on.
    #[arg(long, env = "NODE_OPERATOR", value_name = "FILE", global = true)]
    pub operator: Option<PathBuf>,
    /// How log lines are written.
    #[arg(long, value_enum, default_value_t, global = true)]
    pub log: Form,
    #[command(subcommand)]
    pub asked: Option<Asked>,
}

#[derive(Debug, Subcommand)]
pub enum Asked {
    /// Serves as the configuration says that NODE_CONFIG names; so does a call without a word.
    Serve,
    /// Checks an operator's file, and tells all that is wrong with it.
    Check(check::Check),
    /// Asks name servers for a service, and shows what a supervisor would see.
    Resolve(resolve::Resolve),
}
