//! What a claim on an operation costs a member: processor time, bytes of messages and records, memory, and a snapshot. Simulated: one
//! of three members, a disk that syncs at once. Prints `figure NAME VALUE`.

use fallgap_control_state::{Attempt, Message, OperationId, Out};
use fallgap_simulation::waters::{node, one_of_three};
use std::time::{Duration, Instant};

const CLAIMS: u64 = 46_000;

/// Bytes of this process in memory.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0.0);
    pages * 4096.0
}

fn main() {
    let mut keeper = one_of_three(Duration::ZERO, 1, 1);
    keeper.take();
    let before = resident();
    let (mut asked, mut told, mut written) = (0, 0, 0);
    let began = Instant::now();
    for n in 0..CLAIMS {
        let mut id = [0; 16];
        id[..8].copy_from_slice(&n.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes());
        let attempt = Attempt { node: node(7), number: n.wrapping_mul(0xbf58_476d_1ce4_e5b9) };
        let message = Message::Claim { number: n, operation: OperationId(id), attempt };
        asked += postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len());
        let now = Duration::from_micros(1600 * n);
        keeper.heard(now, node(7), message);
        let mut last = 0;
        for out in keeper.take() {
            if let Out::Log { number, record } = out {
                (last, written) = (number, written + record.len());
            }
        }
        keeper.synced(now, last);
        for out in keeper.take() {
            if let Out::Send(_, message) = out {
                told += postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len());
            }
        }
    }
    let claims = CLAIMS as f64;
    println!("figure claim_us {:.2}", began.elapsed().as_secs_f64() * 1e6 / claims);
    println!("figure claim_bytes_asked {:.1}", asked as f64 / claims);
    println!("figure claim_bytes_told {:.1}", told as f64 / claims);
    println!("figure claim_bytes_written {:.1}", written as f64 / claims);
    println!("figure claims_held {}", keeper.claims_held());
    println!("figure claim_bytes_of_memory {:.0}", (resident() - before) / claims);
    let began = Instant::now();
    let snapshot = keeper.snapshot();
    println!("figure snapshot_ms {:.1}", began.elapsed().as_secs_f64() * 1e3);
    println!("figure snapshot_kb {:.0}", snapshot.iter().map(Vec::len).sum::<usize>() as f64 / 1e3);
}
