//! Tells the program which sources it is built from: a checksum over all of the workspace's Rust sources, its manifests and the
//! locked versions of its libraries. The same text has the same checksum on every machine, with a repository or without.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// FNV-1a, 64 bits: told apart are builds, not forgeries.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

struct Checksum(u64);

impl Checksum {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }

    /// One file: its path and its length come first, so that no two trees read alike.
    fn add_file(&mut self, root: &Path, file: &Path) -> io::Result<()> {
        let path = file.strip_prefix(root).unwrap_or(file).to_string_lossy();
        let content = fs::read(file)?;
        self.add(path.as_bytes());
        self.add(&[0]);
        self.add(&(content.len() as u64).to_be_bytes());
        self.add(&content);
        Ok(())
    }
}

/// All Rust sources in a folder and those below it.
fn add_sources(folder: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            add_sources(&path, files)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    Ok(())
}

/// What the program is built from, and where cargo is to look for changes.
fn inputs(root: &Path) -> io::Result<(Vec<PathBuf>, Vec<PathBuf>)> {
    let mut packages = vec![root.to_owned()];
    for entry in fs::read_dir(root.join("crates"))? {
        packages.push(entry?.path());
    }
    let mut files = vec![root.join("Cargo.lock")];
    let mut watched = files.clone();
    for package in packages {
        let (manifest, sources) = (package.join("Cargo.toml"), package.join("src"));
        if manifest.is_file() && sources.is_dir() {
            add_sources(&sources, &mut files)?;
            files.push(manifest.clone());
            watched.extend([manifest, sources]);
        }
    }
    files.sort();
    Ok((files, watched))
}

fn main() -> io::Result<()> {
    let package = PathBuf::from(std::env::var_os("CARGO_MANIFEST_DIR").unwrap_or_default());
    let root = package.join("../..").canonicalize()?;
    let (files, watched) = inputs(&root)?;
    let mut checksum = Checksum(OFFSET_BASIS);
    for file in &files {
        checksum.add_file(&root, file)?;
    }
    println!("cargo:rustc-env=FALLGAP_SOURCES={:016x}", checksum.0);
    println!("cargo:rerun-if-changed=build.rs");
    for path in watched {
        println!("cargo:rerun-if-changed={}", path.display());
    }
    Ok(())
}
