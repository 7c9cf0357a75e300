//! Where examples find the program that they start.

use std::error::Error;
use std::path::PathBuf;

/// The program, as the release build leaves it.
pub fn beside() -> Result<PathBuf, Box<dyn Error>> {
    let example = std::env::current_exe()?;
    let program =
        example.parent().and_then(|examples| examples.parent()).map(|folder| folder.join("gateway"));
    program
        .filter(|path| path.exists())
        .ok_or_else(|| "build it first: cargo build --release -p fallgap-gateway".into())
}
