//! `fallgap`: one real supervisor, one process, one thread. [`spoken`] is what goes over the wire, [`kept`]
//! what stays in memory, [`life`] start and stop. No decision is taken here: reports go to
//! [`fallgap::Supervisor`], and its calls of orders go to the relay.

mod kept;
mod life;
mod spoken;

use std::process::ExitCode;

fn main() -> ExitCode {
    life::logger::start();
    let told = match life::configuration::read() {
        Ok(told) => told,
        Err(missing) => {
            log::error!("cannot start: {missing}");
            return ExitCode::from(2);
        }
    };
    let limits = life::limits::Limits::within(told.memory_mb, told.sockets);
    actix_rt::System::new().block_on(life::run::run(told, limits))
}
