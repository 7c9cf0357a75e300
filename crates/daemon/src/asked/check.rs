//! `fallgap check FILE`.

use clap::Args;
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Debug, Args)]
pub struct Check {
    /// The operator's file.
    file: PathBuf,
    /// One object a line.
    #[arg(long)]
    json: bool,
}

pub fn run(check: &Check) -> ExitCode {
    let file = check.file.display().to_string();
    let text = match std::fs::read_to_string(&check.file) {
        Ok(text) => text,
        Err(e) => {
            tracing::error!("cannot read {file}: {e}");
            return ExitCode::from(2);
        }
    };
    let faults = match fallgap_operator::read(&text) {
        Ok(read) => {
            let services = read.dns.as_ref().map_or(0, |dns| dns.services.len());
            if check.json {
                println!("{}", json!({ "file": file, "faults": 0, "dns_services": services }));
            } else {
                println!("{file} is in order: {services} services from DNS");
            }
            return ExitCode::SUCCESS;
        }
        Err(faults) => faults,
    };
    for fault in faults {
        if check.json {
            let (found, expected) = (&fault.found, &fault.expected);
            let place = json!({ "file": file, "line": fault.line, "column": fault.column, "found": found, "expected": expected });
            println!("{place}");
        } else {
            println!("{file}:{fault}");
        }
    }
    ExitCode::FAILURE
}
