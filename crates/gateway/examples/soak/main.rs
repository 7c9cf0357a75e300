//! A soak: a fleet of real processes under troubles that are drawn from a seed, and a check of all that was seen. It ends with
//! code 1 if something may not have been.

#[path = "../beside/mod.rs"]
mod beside;
mod history;
mod soak;
mod traffic;
mod troubles;

use clap::Parser;
use soak::Plan;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

#[derive(Parser)]
#[command(about = "A fleet of gateways under drawn troubles")]
struct Asked {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, one after the other
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How long the troubles of each last
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Processes of each fleet; the first three have a disk
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(3..=200))]
    processes: u64,
    /// The program, if it is not beside this example
    #[arg(long)]
    program: Option<PathBuf>,
    /// Print the troubles of each seed
    #[arg(long)]
    troubles: bool,
}

fn main() -> ExitCode {
    let asked = Asked::parse();
    let program = match asked.program.clone().map_or_else(beside::beside, Ok) {
        Ok(program) => program,
        Err(error) => {
            eprintln!("soak: {error}");
            return ExitCode::from(2);
        }
    };
    let mut is_good = true;
    for seed in asked.seed..asked.seed + asked.seeds {
        let net = [127, 60 + (std::process::id() % 60) as u8, (seed % 250) as u8 + 1];
        let (time, processes) = (Duration::from_secs(asked.seconds), asked.processes as usize);
        let began = Instant::now();
        match soak::run(&Plan { seed, time, processes, program: program.clone(), net }) {
            Ok(outcome) => {
                let (count, took) = (outcome.troubles.len(), began.elapsed().as_secs());
                println!("seed {seed}: {count} troubles, {took} s: {}", outcome.summary);
                if asked.troubles {
                    println!("  {}", outcome.troubles.join(", "));
                }
                outcome.breaches.iter().take(20).for_each(|breach| println!("  BROKEN {breach}"));
                is_good &= outcome.breaches.is_empty();
            }
            Err(error) => {
                println!("seed {seed}: cannot be run: {error}");
                is_good = false;
            }
        }
    }
    if is_good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
