//! All bounds of the part.

use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Between two heartbeats to each watcher.
    pub beat: Duration,
    /// How many watch a node.
    pub watchers: usize,
    /// A watcher that has heard nothing for so long asks around.
    pub miss: Duration,
    /// So long it waits for what comes of that.
    pub confirm: Duration,
    /// While nothing at all is heard: how many are asked in each time of `push`.
    pub round: usize,
    /// Whom it asks to ask.
    pub helpers: usize,
    /// So long a helper waits; less than `confirm`.
    pub errand: Duration,
    /// Errands that a helper has at work; more are not taken, and the one who asked hears nothing.
    pub errands: usize,
    /// So long each node waits for the answer of one that others doubt.
    pub verify: Duration,
    /// After so long from the last sign of life a doubted node is gone.
    pub gone: Duration,
    /// A node that is gone is forgotten after so long.
    pub forget: Duration,
    /// Between two comparisons with a drawn peer.
    pub compare: Duration,
    /// The same within a second of a change.
    pub compare_lively: Duration,
    /// Between two questions to a drawn node that is doubted or gone.
    pub probe: Duration,
    /// Between two questions to a drawn seed that is not known.
    pub strange: Duration,
    /// Between two rounds of questions to the seeds, while nobody is here: the first, and the longest.
    pub seek: Duration,
    pub seek_most: Duration,
    /// Seeds that are asked in a round; of more, some are drawn.
    pub seeds: usize,
    /// Least time between two rounds of news to drawn peers, and how many peers, beside the next on the ring.
    pub push: Duration,
    pub push_peers: usize,
    /// A wake that comes so much too late tells of the own sickness, not of the others'.
    pub late: Duration,
    /// Nodes that are known. When there are more, one that is gone is forgotten for it; else it is not taken.
    pub nodes: usize,
    /// News in a message; what is over goes with later ones. Messages that bring more are ignored.
    pub news: usize,
    /// Pages handed out in a second; above that a [`crate::Word::Pull`] gets no answer.
    pub pages: u32,
    /// Length of a zone's name; cards with a longer one are ignored.
    pub zone_bytes: usize,
    /// Notes in a second; what is over is counted in one more.
    pub notes: u32,
}

impl Default for Terms {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Terms {
            beat: ms(300),
            watchers: 3,
            miss: ms(900),
            confirm: ms(180),
            round: 16,
            helpers: 3,
            errand: ms(120),
            errands: 64,
            verify: ms(180),
            gone: ms(4000),
            forget: ms(120_000),
            compare: ms(1000),
            compare_lively: ms(250),
            probe: ms(600),
            strange: ms(2000),
            seek: ms(100),
            seek_most: ms(1000),
            seeds: 3,
            push: ms(100),
            push_peers: 3,
            late: ms(500),
            nodes: 1024,
            news: 12,
            pages: 64,
            zone_bytes: 48,
            notes: 16,
        }
    }
}
