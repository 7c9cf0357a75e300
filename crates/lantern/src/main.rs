//! `lantern`: fallgap's gateway. `serve` runs one supervisor; the rest is for whoever operates it.

mod ask;
mod asks;
mod beats;
mod calls;
mod carry;
mod control;
mod counter;
mod disk;
mod engine;
mod hub;
mod links;
mod memory;
mod offices;
mod signals;
mod spread;
mod start;
mod usual;
mod words;

use clap::{Parser, Subcommand};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::ExitCode;

/// The thing asked about is not in order; called or configured wrongly; a defect.
const NOT_IN_ORDER: u8 = 1;
const WRONG_CALL: u8 = 2;
const DEFECT: u8 = 70;

#[derive(Parser)]
#[command(
    name = "lantern",
    version,
    about = "fallgap's gateway: supervisors that carry requests, and their control state"
)]
struct Asked {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Run one supervisor, with the settings that FALLGAP_CONFIG names
    Serve {
        /// The settings file, instead of the one that FALLGAP_CONFIG names
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Tell what is wrong with a settings file or a configuration, all at once
    Check {
        #[command(subcommand)]
        what: Checked,
    },
    /// Read or write the configuration of a running gateway
    Config {
        #[command(subcommand)]
        what: Configured,
    },
    /// Read or write accounts, which the operator grants to offices
    Account {
        #[command(subcommand)]
        what: counter::Account,
    },
    /// Read or change what an office has
    Office {
        #[command(subcommand)]
        what: counter::Office,
    },
    /// Tell how one supervisor stands: its edition, servers, home and keepers
    Status {
        /// A supervisor's control address
        #[arg(long)]
        at: SocketAddrV4,
    },
}

#[derive(Subcommand)]
enum Checked {
    /// A supervisor's settings
    Settings { file: PathBuf },
    /// An operator's configuration
    Config { file: PathBuf },
}

#[derive(Subcommand)]
enum Configured {
    /// Print the newest configuration
    Get {
        /// A supervisor's control address
        #[arg(long)]
        at: SocketAddrV4,
    },
    /// Hand in a configuration; returns when it is kept for good
    Put {
        /// A supervisor's control address; more than one are tried in turn
        #[arg(long, required = true)]
        at: Vec<SocketAddrV4>,
        file: PathBuf,
    },
}

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_level(false)
        .without_time()
        .init();
    match Asked::parse().verb {
        Verb::Serve { settings } => match start::serve(settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                tracing::error!("lantern: does not start: {e}");
                ExitCode::from(if e.is_defect() { DEFECT } else { WRONG_CALL })
            }
        },
        Verb::Check { what: Checked::Settings { file } } => ask::done(ask::check_settings(&file)),
        Verb::Check { what: Checked::Config { file } } => ask::done(ask::check_configuration(&file)),
        Verb::Config { what: Configured::Get { at } } => ask::done(ask::get(at, "/-/config/get")),
        Verb::Config { what: Configured::Put { at, file } } => ask::done(ask::put(&at, &file)),
        Verb::Account { what } => ask::done(counter::account(what)),
        Verb::Office { what } => ask::done(counter::office(what)),
        Verb::Status { at } => ask::done(ask::get(at, "/-/status")),
    }
}
