//! `fallgap`: one real supervisor, one process, one thread; and what can be asked of it at a prompt.
//! [`asked`] is what it is called with, [`spoken`] what goes over the wire, [`kept`] what stays in memory,
//! [`life`] start and stop. No decision is taken here: reports go to [`fallgap::Supervisor`], what is said of
//! servers to [`fallgap_sources::Sources`], and calls of orders to the relay.

mod asked;
mod kept;
mod life;
mod spoken;

use asked::{Asked, Call};
use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    let call = Call::parse();
    life::logger::start(call.log);
    match call.asked.unwrap_or(Asked::Serve) {
        Asked::Serve => life::run::start(call.operator),
        Asked::Check(check) => asked::check::run(&check),
        Asked::Resolve(resolve) => actix_rt::System::new().block_on(asked::resolve::run(resolve)),
    }
}
