//! What binds an op's way.

use std::time::Duration;

/// All bounds of an op's way, and what happens at each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Arrivals beyond the first of each request, as a part of the requests: over it there is no further try.
    pub retry_ratio: f64,
    /// Arrivals beyond the first that are free in a window, over all supervisors.
    pub retry_slack: f64,
    pub retry_window: Duration,
    /// A connection that is not up by then is given up, and another server is asked.
    pub connect: Duration,
    /// Where connections usually take long, the way there is long and not the server dead: they are waited for up to
    /// this part of the target.
    pub connect_part: f64,
    /// Connections in vain after which an op is refused.
    pub connects: u32,
    /// An op on a repeatable route that has had no answer for this part of its target goes to a second server.
    pub hedge_part: f64,
    /// How long a server is first avoided; each time after it twice as long.
    pub avoid: Duration,
    pub avoid_most: Duration,
    /// Failures in a row after which a server is avoided.
    pub failures: u32,
    /// Own requests at a server beyond its slots, while others have room.
    pub beyond_slots: u32,
    /// By how many supervisors a server is met: the more, the more evenly their loads add up there; the fewer, the
    /// more often each of them meets it.
    pub met_by: usize,
    /// The least number of a service's servers that a supervisor keeps to.
    pub held: usize,
    /// Bytes of an answer's head. More is no answer.
    pub answer_head: usize,
    /// Interim answers before an answer. More is no answer: they may come without end, and the answer never.
    pub interim_answers: u32,
    /// Bytes of an answer's body. More is no answer.
    pub answer_body: usize,
    /// A large answer of at least so many bytes goes to the client as it comes. A smaller one costs little time if it
    /// is read whole first, and can then be had from another server if it breaks off.
    pub pass_from: usize,
    /// How much more often a server of one's own zone is drawn.
    pub own_zone: f64,
    /// Large answers come from the own zone while that usually takes no more than this part of the target: what is
    /// left is for the spread of times around the usual one.
    pub own_zone_large: f64,
    /// What binds verdicts that all supervisors are told.
    pub lights: fallgap_health::Terms,
    /// A large answer that would wait for others on the own link for more than this part of its target is sent for
    /// elsewhere: small answers wait behind it several times, once for each step of their way.
    pub laden_part: f64,
}

impl Default for Terms {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Terms {
            retry_ratio: 0.2,
            retry_slack: 64.0,
            retry_window: ms(10_000),
            connect: ms(120),
            connect_part: 0.35,
            connects: 3,
            hedge_part: 0.55,
            avoid: ms(500),
            avoid_most: ms(4000),
            failures: 3,
            beyond_slots: 2,
            met_by: 8,
            held: 32,
            answer_head: 64 << 10,
            interim_answers: 16,
            answer_body: 16 << 20,
            pass_from: 16 << 10,
            own_zone: 1.5,
            own_zone_large: 0.5,
            lights: fallgap_health::Terms::default(),
            laden_part: 0.1,
        }
    }
}
