//! `fallgap-lab servers FILE`.

use super::{read, refuse};
use clap::Args;
use fallgap_lab::emulated::shell::Server;
use fallgap_lab::emulated::{Machine, Script};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

#[derive(Debug, Args)]
pub struct Servers {
    /// An experiment's file.
    file: PathBuf,
    /// HTTP in place of the framed protocol.
    #[arg(long)]
    http: bool,
    /// The first server's port; the next ones follow. 0: any.
    #[arg(long, default_value_t = 0)]
    port: u16,
}

pub fn run(call: &Servers) -> ExitCode {
    let experiment = match read(&call.file) {
        Ok(experiment) => experiment,
        Err(code) => return code,
    };
    actix_rt::System::new().block_on(async {
        let start = Instant::now();
        for (i, made) in experiment.servers.iter().enumerate() {
            let machine = Machine::new(made.make.clone(), Script::new(made.faults.clone()), None, i as u64);
            let server = Server::new(machine, start);
            let port = if call.port == 0 { 0 } else { call.port + i as u16 };
            let at = format!("127.0.0.1:{port}");
            let opened = if call.http { server.http(&at).await } else { server.framed(&at).await };
            match opened {
                Ok(at) => println!(
                    "{} {}{at}{}",
                    made.name,
                    if call.http { "http://" } else { "framed://" },
                    if call.http { "/" } else { "" }
                ),
                Err(e) => return refuse(format!("{at}: {e}")),
            }
        }
        // Until it is ended.
        let _ = tokio::signal::ctrl_c().await;
        ExitCode::SUCCESS
    })
}
