//! What binds the registry, the distribution and the followers.

use fallgap_feed::wire::Bounds;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// About how often a server beats.
    pub beat: Duration,
    /// Without a beat for so many times that, a server is lost.
    pub silent_beats: f64,
    /// After so many beats' time a keeper that started counts as one that knows the servers.
    pub warm_beats: u32,
    /// So long a life that ended is remembered, so that a late beat does not bring it back.
    pub remember: Duration,
    /// Most lives known. Over it ended ones are forgotten early, the oldest first; if all are alive, a new server's
    /// beat is refused.
    pub servers: usize,
    /// How often a keeper compares with another one. Up to a quarter more is drawn.
    pub compare: Duration,
    /// Records of one message; more go in further messages.
    pub page: usize,
    /// Quiet servers asked for in one comparison; the others wait for the next one.
    pub quiet: usize,
    /// Followers of one home; one more is told that it is unfit.
    pub followers: usize,
    /// A follower that said nothing for so long is let go of.
    pub idle: Duration,
    /// Bytes of tables, as packed, that leave a home in a second; what is over waits. Half of a link of 100 Mbit/s.
    pub bytes_a_second: f64,
    /// What each message counts for beside that: frame and headers.
    pub head_bytes: f64,
    /// After so long without an answer an update counts as lost; each of its lines adds to that: 2,000 lines take
    /// half a second on the thinnest links, and as much again in a machine with a tenth of a core.
    pub answer: Duration,
    pub answer_line: Duration,
    /// Most that is waited for an answer: on a link that clients' answers fill it takes more than a second.
    pub answer_most: Duration,
    /// A committed configuration waits so long for the answer to an earlier update, and for its lines: it has two
    /// seconds to be in force, and a link that is full takes one of them for each way.
    pub urgent: Duration,
    /// Least time between two words to a follower. Up to half as much again is drawn.
    pub word: Duration,
    /// Changes of servers are gathered for so long before tables are built.
    pub gather: Duration,
    /// A table is built anew so often, changed or not; the first time after up to twice that.
    pub rebuild: Duration,
    /// Versions of the table that are kept to send differences from; beyond, it goes whole. One is made as often as
    /// changes are gathered, so that they have to last for as long as an answer may take.
    pub versions: usize,
    /// Bytes of what changed between them, names not counted; beyond, the oldest are let go of.
    pub history: usize,
    /// A server's weight moves by that part in a period.
    pub step: f64,
    /// Gaps of load under that part of the mean are ignored.
    pub ignored: f64,
    /// Bounds of a weight, as multiples of its base.
    pub bounds: (f64, f64),
    /// Smaller changes of a weight are not sent.
    pub least_change: f64,
    /// Answers in a period below which a server counts as unheard.
    pub heard: u32,
    /// A fresh server's rise takes so long at least and at most.
    pub rise: (Duration, Duration),
    /// How often rising weights are looked at.
    pub rise_look: Duration,
    /// Without a word for so long a follower leaves its home: four words, and the second that one may wait on a link
    /// that clients fill.
    pub silent_home: Duration,
    /// A follower that no home confirmed anything to for so long may have missed that servers closed: what it knows of
    /// servers is used at a home that knows no better for as long as `unsure` says, and no longer.
    pub missed: Duration,
    pub unsure: Duration,
    /// So long a home that was silent, or unfit, is not tried again.
    pub avoid: (Duration, Duration),
    /// A follower asks its home so often how current its view is.
    pub lease: Duration,
    /// Updates in a row that could not be applied, after which a follower leaves its home.
    pub rejects: u32,
    /// A follower says so often what it holds.
    pub say: Duration,
    /// After so long at another home a follower goes back to the one it prefers. At a start all come to the home that is
    /// fit first: one that serves three quarters of a fleet is late with all of it.
    pub settle: Duration,
    /// Servers out that a follower remembers beyond its home; over it the home's own list has to do.
    pub withdrawn: usize,
    /// Of messages. A message over them is not read.
    pub wire: Bounds,
}

impl Default for Terms {
    fn default() -> Self {
        let (s, ms) = (Duration::from_secs, Duration::from_millis);
        Terms {
            beat: ms(1500),
            silent_beats: 3.2,
            warm_beats: 3,
            remember: s(60),
            servers: 10_000,
            compare: ms(700),
            page: 200,
            quiet: 400,
            followers: 2000,
            idle: s(5),
            bytes_a_second: 6e6,
            head_bytes: 64.0,
            answer: ms(400),
            answer_line: Duration::from_micros(500),
            answer_most: s(3),
            urgent: ms(100),
            word: ms(200),
            gather: ms(20),
            rebuild: s(5),
            versions: 400,
            history: 4 << 20,
            step: 0.05,
            ignored: 0.1,
            bounds: (0.5, 2.0),
            least_change: 0.04,
            heard: 5,
            rise: (s(3), s(30)),
            rise_look: s(1),
            silent_home: ms(1200),
            missed: ms(2200),
            unsure: ms(1800),
            avoid: (ms(1500), ms(700)),
            lease: ms(400),
            rejects: 5,
            say: s(1),
            settle: s(5),
            withdrawn: 20_000,
            wire: Bounds::default(),
        }
    }
}

impl Terms {
    /// The usual terms for servers that beat so often.
    pub fn with_beat(beat: Duration) -> Terms {
        Terms { beat: beat.max(Duration::from_millis(50)), ..Terms::default() }
    }

    pub(crate) fn warm_after(&self) -> Duration {
        self.beat * self.warm_beats
    }

    pub(crate) fn silent(&self) -> Duration {
        self.beat.mul_f64(self.silent_beats)
    }
}
