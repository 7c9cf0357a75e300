//! The register of servers that ended: how long an end is kept, and how many there are.

#[allow(dead_code)]
mod register;

use fallgap_control_state::subjects::{Limits, Memory, server_ends_after};
use fallgap_control_state::{Answer, Call};
use register::{Register, ms};

fn ends(server: &str) -> Call {
    Call::ServerEnd { server: server.into() }
}

fn ended(register: &Register, known: u64) -> Vec<String> {
    let held = register.held.as_deref().unwrap_or_default();
    let ends = server_ends_after(held, known).expect("ends");
    ends.ended.into_iter().map(|(_, server)| server).collect()
}

/// Guards against an end that is forgotten while a beat of before may still come: age alone ends it, by what the process that
/// judges has seen, and what does not fit is refused.
#[test]
fn an_end_is_kept_until_it_is_old_and_none_is_forgotten_early() {
    let limits = Limits { ends: 3, ..Limits::default() };
    let keep = 60_000;
    let mut register = Register::with(limits);
    // When a server ends, what is said, whether it is written, and which ends are kept then.
    type Row<'a> = (u64, &'a str, (Answer, bool), &'a [&'a str]);
    let rows: [Row; 8] = [
        (0, "a", (Answer::Done, true), &["a"]),
        (1_000, "b", (Answer::Done, true), &["a", "b"]),
        // Known already, so nothing is written.
        (2_000, "a", (Answer::Done, false), &["a", "b"]),
        (3_000, "c", (Answer::Done, true), &["a", "b", "c"]),
        (4_000, "d", (Answer::Busy, false), &["a", "b", "c"]),
        // First seen by a call that came a second later, so it is kept for a second more.
        (keep + 999, "d", (Answer::Busy, false), &["a", "b", "c"]),
        (keep + 1_000, "d", (Answer::Done, true), &["b", "c", "d"]),
        (2 * keep + 10_000, "a", (Answer::Done, true), &["d", "a"]),
    ];
    for (at, server, said, kept) in rows {
        assert_eq!(register.call(ms(at), &ends(server)), said, "{server} at {at} ms");
        assert_eq!(ended(&register, 0), kept, "{server} at {at} ms");
    }
    // A process that has just started has seen nothing: it forgets nothing.
    register.memory = Memory::with(limits);
    assert_eq!(register.call(ms(9 * keep), &ends("e")), (Answer::Done, true));
    assert_eq!(ended(&register, 0), ["d", "a", "e"]);
    // Who knows some is told of the others, and below which number none is left.
    let all = server_ends_after(register.held.as_deref().unwrap(), 0).unwrap();
    assert_eq!(ended(&register, all.ended[1].0), ["e"]);
    assert_eq!(all.least, all.ended[0].0);
    assert_eq!(register.call(ms(9 * keep), &Call::ServerEndsGet), (Answer::Done, false));
}

/// As many ends as a fleet of 8,000 servers that starts anew twice within the time has room in its register.
#[test]
fn the_ends_of_a_whole_fleet_fit_twice() {
    let mut register = Register::new();
    for server in 0..16_000u32 {
        // Ids as the users' servers have them.
        let server = format!("i-{:08x}", server.wrapping_mul(0x9e37_79b9));
        assert_eq!(register.call(ms(1), &ends(&server)), (Answer::Done, true));
    }
    assert!(register.held.is_some_and(|held| held.len() <= Limits::default().ends_bytes));
}
