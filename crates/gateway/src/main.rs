//! `gateway`: fallgap's gateway. `serve` runs one supervisor; the rest is for whoever operates it.

use clap::{Parser, Subcommand};
use fallgap_gateway::{DEFECT, VERSION, WRONG_CALL, ask, asked, counter, start};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "gateway",
    version = VERSION,
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
    /// Look at the fleet: what one node and those that it reaches know
    Fleet {
        #[command(subcommand)]
        what: asked::Fleet,
    },
    /// Tell what became of a request, try by try
    Trace {
        #[command(flatten)]
        asked: asked::Asked,
        /// The request's X-Request-Id
        id: String,
    },
    /// Tell why a request went where it did or was refused; without one, why the asked node is ready or not
    Why {
        #[command(flatten)]
        asked: asked::Asked,
        /// The request's X-Request-Id
        id: Option<String>,
    },
    /// Tell what became of an operation that is carried out once, by its customer and idempotency key
    Operation {
        #[command(flatten)]
        asked: asked::Asked,
        /// The customer's name; empty where there are no customers
        customer: String,
        /// The X-Idempotency-Key
        key: String,
    },
    /// Tell what is wrong with the fleet, and what to do
    Doctor {
        #[command(flatten)]
        asked: asked::Asked,
    },
    /// Print a completion file for a shell
    Completions { shell: clap_complete::Shell },
    /// Tell which servers are not simply well for one supervisor, for what work and why
    Verdicts {
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
    /// Tell what a file would change: routes, services and limits
    Diff {
        #[command(flatten)]
        asked: asked::Asked,
        file: PathBuf,
    },
    /// Check a file, and tell what it would change and what of it would be refused; changes nothing
    Plan {
        #[command(flatten)]
        asked: asked::Asked,
        file: PathBuf,
    },
    /// List the editions that were in force at a node since its start
    History {
        #[command(flatten)]
        asked: asked::Asked,
    },
}

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        // Where nobody reads the log any more there is nobody to complain to either.
        .log_internal_errors(false)
        .with_ansi(false)
        .with_target(false)
        .with_level(false)
        .without_time()
        .init();
    match Asked::parse().verb {
        Verb::Serve { settings } => match start::serve(settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                tracing::error!("gateway: does not start: {e}");
                ExitCode::from(if e.is_defect() { DEFECT } else { WRONG_CALL })
            }
        },
        Verb::Check { what: Checked::Settings { file } } => ask::done(ask::check_settings(&file)),
        Verb::Check { what: Checked::Config { file } } => ask::done(ask::check_configuration(&file)),
        Verb::Config { what: Configured::Get { at } } => ask::done(ask::get(at, "/-/config/get")),
        Verb::Config { what: Configured::Put { at, file } } => ask::done(ask::put(&at, &file)),
        Verb::Config { what: Configured::Diff { asked, file } } => {
            ask::done(asked::difference(&asked, &file))
        }
        Verb::Config { what: Configured::Plan { asked, file } } => ask::done(asked::planned(&asked, &file)),
        Verb::Config { what: Configured::History { asked } } => ask::done(asked::history(&asked)),
        Verb::Fleet { what } => ask::done(asked::fleet(&what)),
        Verb::Trace { asked, id } => ask::done(asked::trace(&asked, &id)),
        Verb::Why { asked, id } => ask::done(asked::why(&asked, id.as_deref())),
        Verb::Operation { asked, customer, key } => ask::done(asked::operation(&asked, &customer, &key)),
        Verb::Doctor { asked } => ask::done(asked::doctor(&asked)),
        Verb::Completions { shell } => {
            let mut command = <Asked as clap::CommandFactory>::command();
            clap_complete::generate(shell, &mut command, "gateway", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
        Verb::Account { what } => ask::done(counter::account(what)),
        Verb::Office { what } => ask::done(counter::office(what)),
        Verb::Status { at } => ask::done(ask::get(at, "/-/status")),
        Verb::Verdicts { at } => ask::done(ask::get(at, "/-/verdicts")),
    }
}
