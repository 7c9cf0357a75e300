//! What a configuration costs to judge and holds in its register, with all remembered that may be: by size of the body.

use std::time::{Duration, Instant};

use fallgap_control_state::subjects::{Memory, TAKEN_MOST, Verdict, judge};
use fallgap_control_state::{Answer, Call};

fn main() {
    let mut memory = Memory::default();
    println!("body, KiB  taken, µs  again, µs  overtaken again, µs  behind the body, B");
    for kib in [10, 100, 800] {
        let body = vec![b'x'; kib << 10];
        let mut held: Option<Vec<u8>> = None;
        let mut put = |edition: u64, held: &Option<Vec<u8>>| {
            let call = Call::ConfigPut { edition, body: body.clone() };
            let began = Instant::now();
            let verdict = judge(&call, held.as_deref(), Duration::ZERO, &mut memory, Duration::ZERO);
            (began.elapsed().as_secs_f64() * 1e6, verdict)
        };
        let (mut taken, mut again, mut overtaken) = (Vec::new(), Vec::new(), Vec::new());
        for edition in 1..=3 * TAKEN_MOST as u64 {
            let (took, Verdict::Write { value, .. }) = put(edition, &held) else { continue };
            taken.push(took);
            held = Some(value);
            again.extend([put(edition, &held)].map(|(took, verdict)| {
                assert_eq!(verdict, Verdict::Answer(Answer::Done));
                took
            }));
            overtaken.push(put(edition.saturating_sub(1), &held).0);
        }
        let middle = |mut of: Vec<f64>| {
            of.sort_by(f64::total_cmp);
            of.get(of.len() / 2).copied().unwrap_or(f64::NAN)
        };
        let behind = held.map_or(0, |value| value.len() - 8 - (kib << 10));
        let (taken, again, overtaken) = (middle(taken), middle(again), middle(overtaken));
        println!("{kib:>9}  {taken:>9.0}  {again:>9.0}  {overtaken:>19.0}  {behind:>18}");
    }
}
