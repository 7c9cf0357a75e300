//! What became of every op, and how long it took from when it was meant to be sent.

use crate::clients::Ended;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::V2DeflateSerializer;
use hdrhistogram::serialization::interval_log::IntervalLogWriterBuilder;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::time::{Duration, SystemTime};

/// Significant digits of latencies by op type and phase, and of those of one second.
const DIGITS: (u8, u8) = (3, 2);

/// Latencies in microseconds.
pub type Latencies = Histogram<u64>;

fn micros(time: Duration) -> u64 {
    (time.as_micros() as u64).max(1)
}

/// Ops of one type in one phase.
#[derive(Clone, Debug)]
pub struct Tally {
    pub intended: u64,
    pub acked: u64,
    pub rejected: u64,
    /// Failed, or without an answer within the op timeout.
    pub aborted: u64,
    /// Never sent.
    pub unsent: u64,
    /// Tries of all.
    pub tries: u64,
    /// From the intended time to the answer, of those acked.
    pub acks: Latencies,
    /// Of all: those that were not acked stand with their op timeout, or with how long it took if longer.
    pub all: Latencies,
}

/// One second of a run.
#[derive(Clone, Debug)]
pub struct Second {
    pub intended: u64,
    pub acked: u64,
    pub rejected: u64,
    pub lost: u64,
    pub acks: Latencies,
}

fn note(latencies: &mut Latencies, time: Duration) {
    latencies.record(micros(time)).expect("a histogram that resizes");
}

fn latencies(digits: u8) -> Latencies {
    let mut histogram = Histogram::new(digits).expect("0 to 5 digits");
    histogram.auto(true);
    histogram
}

impl Default for Tally {
    fn default() -> Self {
        let (acks, all) = (latencies(DIGITS.0), latencies(DIGITS.0));
        Tally { intended: 0, acked: 0, rejected: 0, aborted: 0, unsent: 0, tries: 0, acks, all }
    }
}

impl Default for Second {
    fn default() -> Self {
        Second { intended: 0, acked: 0, rejected: 0, lost: 0, acks: latencies(DIGITS.1) }
    }
}

/// By op type and phase, and by second; merged over workers.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// Where each phase but the first begins.
    phases: Vec<Duration>,
    pub tallies: BTreeMap<(u16, u16), Tally>,
    pub seconds: Vec<Second>,
    /// How much later than intended ops were sent, by the generator's own doing: that of those held back since
    /// a pool was used up is not in it.
    pub lateness: Latencies,
    /// Ops held back for want of a connection.
    pub held: u64,
}

/// Seconds that are kept apart; later ones count to the last.
const MOST_SECONDS: usize = 24 * 3600;

impl Ledger {
    pub fn new(phases: Vec<Duration>) -> Ledger {
        let lateness = latencies(DIGITS.0);
        Ledger { phases, tallies: BTreeMap::new(), seconds: Vec::new(), lateness, held: 0 }
    }

    pub fn phase(&self, at: Duration) -> u16 {
        self.phases.partition_point(|from| *from <= at) as u16
    }

    fn second(&mut self, at: Duration) -> &mut Second {
        let place = (at.as_secs() as usize).min(MOST_SECONDS);
        while self.seconds.len() <= place {
            self.seconds.push(Second::default());
        }
        &mut self.seconds[place]
    }

    pub fn intended(&mut self, kind: u16, at: Duration) {
        let phase = self.phase(at);
        self.tallies.entry((kind, phase)).or_default().intended += 1;
        self.second(at).intended += 1;
    }

    /// The first try left so much later than it was to.
    pub fn sent(&mut self, late: Duration) {
        note(&mut self.lateness, late);
    }

    /// What became of an op in the end; `at`: when it was to be sent, `took`: since then.
    pub fn ended(
        &mut self, kind: u16, at: Duration, ended: Ended, took: Duration, timeout: Duration, tries: u8,
    ) {
        let phase = self.phase(at);
        let tally = self.tallies.entry((kind, phase)).or_default();
        tally.tries += u64::from(tries);
        match ended {
            Ended::Acked => tally.acked += 1,
            Ended::Rejected => tally.rejected += 1,
            Ended::Unsent => tally.unsent += 1,
            Ended::Aborted | Ended::Late if tries == 0 => tally.unsent += 1,
            Ended::Aborted | Ended::Late => tally.aborted += 1,
        }
        if ended == Ended::Acked {
            note(&mut tally.acks, took);
            note(&mut tally.all, took);
        } else {
            note(&mut tally.all, took.max(timeout));
        }
        let second = self.second(at);
        match ended {
            Ended::Acked => {
                second.acked += 1;
                note(&mut second.acks, took);
            }
            Ended::Rejected => second.rejected += 1,
            _ => second.lost += 1,
        }
    }

    pub fn merge(&mut self, other: &Ledger) {
        for (key, theirs) in &other.tallies {
            let ours = self.tallies.entry(*key).or_default();
            ours.intended += theirs.intended;
            ours.acked += theirs.acked;
            ours.rejected += theirs.rejected;
            ours.aborted += theirs.aborted;
            ours.unsent += theirs.unsent;
            ours.tries += theirs.tries;
            add(&mut ours.acks, &theirs.acks);
            add(&mut ours.all, &theirs.all);
        }
        for (place, theirs) in other.seconds.iter().enumerate() {
            let ours = self.second(Duration::from_secs(place as u64));
            ours.intended += theirs.intended;
            ours.acked += theirs.acked;
            ours.rejected += theirs.rejected;
            ours.lost += theirs.lost;
            add(&mut ours.acks, &theirs.acks);
        }
        add(&mut self.lateness, &other.lateness);
        self.held += other.held;
    }

    /// All op types and phases together.
    pub fn whole(&self) -> Tally {
        let mut whole = Ledger::new(Vec::new());
        for ((_, _), tally) in &self.tallies {
            let one = Ledger { tallies: [((0, 0), tally.clone())].into(), ..Ledger::new(Vec::new()) };
            whole.merge(&one);
        }
        whole.tallies.remove(&(0, 0)).unwrap_or_default()
    }

    /// Writes the acks of each second in the log format of HdrHistogram, in milliseconds.
    ///
    /// # Errors
    /// If it cannot be written.
    pub fn write_log(&self, to: &mut impl Write) -> io::Result<()> {
        let mut serializer = V2DeflateSerializer::new();
        let mut log = IntervalLogWriterBuilder::new();
        let mut log = log
            .add_comment("fallgap-lab: latency from the intended time, microseconds")
            .with_start_time(SystemTime::UNIX_EPOCH)
            .with_max_value_divisor(1e3)
            .begin_log_with(to, &mut serializer)?;
        for (place, second) in self.seconds.iter().enumerate() {
            let start = Duration::from_secs(place as u64);
            log.write_histogram(&second.acks, start, Duration::from_secs(1), None)
                .map_err(|e| io::Error::other(format!("{e:?}")))?;
        }
        Ok(())
    }
}

/// Histograms that resize themselves take any other of the same digits.
fn add(ours: &mut Latencies, theirs: &Latencies) {
    ours.add(theirs).expect("a histogram that resizes");
}
