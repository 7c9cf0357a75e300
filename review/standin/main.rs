//! Stand-ins and checks of the review's scripts: supervisors as processes, servers, clients and applications on loopback.
//! Uses the standard library alone. Called by `run.sh` of each case: `standin CASE GATEWAY WORKDIR RECORD TROUBLE`.
//! Ends with 0: the rule held; 1: it was broken; 2: the case could not run.

mod client;
mod endless_heads;
mod fleet;
mod http;
mod late_beat;
mod put_twice;
mod record;
mod server;

use record::Record;
use std::path::PathBuf;
use std::process::exit;

/// What a case is handed.
pub struct Given {
    pub gateway: PathBuf,
    pub work: PathBuf,
    pub trouble: bool,
    pub record: Record,
}

/// How a case ended.
pub enum End {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, gateway, work, record, trouble] = args.as_slice() else {
        eprintln!("standin CASE GATEWAY WORKDIR RECORD TROUBLE");
        exit(2);
    };
    let given = Given {
        gateway: gateway.into(),
        work: work.into(),
        trouble: trouble != "0",
        record: Record::create(record),
    };
    given.record.line(&format!("case {case}, trouble {}", u8::from(given.trouble)));
    let end = match case.as_str() {
        "put-twice" => put_twice::play(&given),
        "endless-heads" => endless_heads::play(&given),
        "late-beat" => late_beat::play(&given),
        _ => End::CouldNotRun(format!("no case {case}")),
    };
    let code = match &end {
        End::Held => 0,
        End::Broken => 1,
        End::CouldNotRun(_) => 2,
    };
    match end {
        End::Held => given.record.line("the rule held"),
        End::Broken => given.record.line("the rule was broken"),
        End::CouldNotRun(why) => given.record.line(&format!("could not run: {why}")),
    }
    exit(code);
}
