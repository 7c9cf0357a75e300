//! What binds the list of lights.

use std::time::Duration;

/// All bounds of evidence and verdicts, and why they are so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Evidence counts half after so long, in two sums: a short one, in which a busy server's illness shows soon, and
    /// a long one for servers that are rarely asked.
    pub half_lives: [Duration; 2],
    /// What one report may add for one kind at one server, in runs a second: a node that lies counts no more than a
    /// busy one.
    pub runs_a_second: f64,
    /// A node that asked so many servers or more, of which over half failed it, tells of its own path: not heard.
    pub asked: usize,
    /// Failures, and the part of the runs that failed, from which on a zone says ill.
    pub zone_failed: f64,
    pub zone_share: f64,
    /// Runs from which on a zone has a say at all.
    pub zone_runs: f64,
    /// The same over all zones: some failures in a row of a rarely asked server are no illness yet.
    pub failed: f64,
    pub share: f64,
    /// Zones that must say ill, and nodes that must have seen a failure: one node, or one path, condemns nobody.
    pub zones: usize,
    pub nodes: usize,
    /// A home tells the judge from so many failures on, and from that part of the runs on.
    pub suspect_failed: f64,
    pub suspect_share: f64,
    /// Part of the runs that may fail in a server that counts as sound, and the runs that it takes to say so.
    pub sound_share: f64,
    pub sound_runs: f64,
    /// Evidence of a home that is older does not count.
    pub fresh: Duration,
    /// Without new evidence a server's is weighed again so often.
    pub reweigh: Duration,
    /// A server is watched for so long before it is barred: the other homes are asked meanwhile.
    pub watch: Duration,
    /// Without ill evidence for so long a watched server is well.
    pub unwatch: Duration,
    /// First span of a bar; after each relapse twice as long, up to the most.
    pub bar: Duration,
    pub bar_most: Duration,
    /// A trial lasts so long at least, and three times that without news.
    pub trial: Duration,
    /// After a trial it gets a part of its work for so long.
    pub light: Duration,
    /// After so long well the spans begin anew.
    pub forgive: Duration,
    /// Part of a service's slots that may be barred or on trial for one kind.
    pub barred_part: f64,
    /// Part of a service's slots from which on failing is the service's, and nobody is barred. A little over what may
    /// be barred.
    pub common_part: f64,
    /// Part of its work that a lightened server gets, and one on trial.
    pub lightened: f64,
    pub on_trial: f64,
    /// What is loosened takes hold so long after it is told: by then all have heard.
    pub together: Duration,
    /// Verdicts that are not simply well are told again so often; one that is not heard of for longer is dropped.
    pub renew: Duration,
    pub expires: Duration,
    /// A verdict that became well is told on for so long.
    pub told_well: Duration,
    /// Least time between two looks.
    pub look: Duration,
    /// Servers under a verdict at most, zones of one tally, servers with evidence.
    pub cases: usize,
    pub tally_zones: usize,
    pub servers: usize,
}

impl Default for Terms {
    fn default() -> Self {
        let (s, ms) = (Duration::from_secs, Duration::from_millis);
        Terms {
            half_lives: [ms(700), s(3)],
            runs_a_second: 6.0,
            asked: 4,
            zone_failed: 0.6,
            zone_share: 0.2,
            zone_runs: 1.5,
            failed: 2.2,
            share: 0.25,
            zones: 2,
            nodes: 3,
            suspect_failed: 0.9,
            suspect_share: 0.12,
            sound_share: 0.1,
            sound_runs: 3.0,
            fresh: s(3),
            reweigh: ms(400),
            watch: ms(150),
            unwatch: s(2),
            bar: s(4),
            bar_most: s(30),
            trial: s(2),
            light: s(2),
            forgive: s(30),
            barred_part: 0.34,
            common_part: 0.4,
            lightened: 0.3,
            on_trial: 0.1,
            together: ms(300),
            renew: s(1),
            expires: s(5),
            told_well: s(6),
            look: ms(80),
            cases: 512,
            tally_zones: 12,
            servers: 10_000,
        }
    }
}
