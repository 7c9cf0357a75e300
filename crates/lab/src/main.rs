//! `fallgap-lab`: load, traces, emulated servers, experiments and their reports. Exit codes: 0 good, 1 what was
//! asked for is not in order (a run that is not valid, a rule broken), 2 called wrongly.

mod asked;

use asked::{Asked, Call};
use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    match Call::parse().asked {
        Asked::Load(load) => asked::load::run(&load),
        Asked::Trace(trace) => asked::trace::run(&trace),
        Asked::Servers(servers) => asked::servers::run(&servers),
        Asked::Run(run) => asked::experiment::run(&run),
        Asked::Compare(compare) => asked::experiment::compare(&compare),
        Asked::Report(report) => asked::experiment::report(&report),
    }
}
