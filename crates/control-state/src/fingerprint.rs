//! Two keepers with the same fingerprint do the same from here on: a checker that walks all ways goes each only once.

use std::hash::{Hash, Hasher};

use crate::keeper::Keeper;

impl Hash for Keeper {
    /// All but who it is and its terms, which never change.
    fn hash<H: Hasher>(&self, state: &mut H) {
        let Keeper {
            me: _,
            terms: _,
            rng,
            first,
            pen,
            acceptor,
            claims,
            memory,
            charter,
            chartered,
            fenced,
            caught_up,
            successor,
            drive,
            contention,
            crew,
            catch_up,
            repair,
            reuse,
            founding,
            desks,
            active,
            calls,
            watches,
            past_fetch,
            pace,
            shown,
            // Told, and nothing of its own rests on it.
            read_since: _,
            count,
            mark,
            pulse_at,
            pulse_whole_at,
            poll_at,
            polled,
            leaving,
            departure,
            clock,
        } = self;
        rng.get_seed().hash(state);
        first.hash(state);
        pen.hash(state);
        acceptor.hash(state);
        claims.hash(state);
        memory.hash(state);
        charter.hash(state);
        chartered.hash(state);
        fenced.hash(state);
        caught_up.hash(state);
        successor.hash(state);
        drive.hash(state);
        contention.hash(state);
        crew.hash(state);
        catch_up.hash(state);
        repair.hash(state);
        reuse.hash(state);
        founding.hash(state);
        desks.hash(state);
        active.hash(state);
        calls.hash(state);
        watches.hash(state);
        past_fetch.hash(state);
        pace.hash(state);
        shown.hash(state);
        count.hash(state);
        mark.hash(state);
        pulse_at.hash(state);
        pulse_whole_at.hash(state);
        poll_at.hash(state);
        polled.hash(state);
        leaving.hash(state);
        departure.hash(state);
        clock.hash(state);
    }
}
