//! Every size, count and time that binds the network code; filled at start and handed down.

use std::time::Duration;

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections that may be open at the listen address, and collectors among them.
    pub guests: usize,
    pub collectors: usize,
    /// Longest message from a collector, and from a guest that has not named itself one.
    pub message: usize,
    pub first_message: usize,
    /// Words of one message.
    pub words: usize,
    /// Largest figure, and longest time, that a report may hold: one that spans more would stretch what the
    /// decisions take for the pace of reports.
    pub figure: f64,
    pub span: Duration,
    /// How long a guest may stay that has not named itself a collector, counted from when it came; how long a
    /// collector may take over one message; and how long an answer to a guest may take to write.
    pub unnamed_guest: Duration,
    pub one_message: Duration,
    pub write: Duration,
    /// Bytes of orders in one call, as encoded.
    pub call: usize,
    /// Orders of one call that may be dropped with a line each and no pause: a relay that takes none at all
    /// gets time between the next ones.
    pub dropped_at_once: u32,
    /// Tries after which a call that the relay calls malformed each time is given up.
    pub malformed: u32,
    /// Longest answer to a call, longest line of news, and longest list.
    pub reply: usize,
    pub news_line: usize,
    pub list: usize,
    /// To a connection; to a call's answer; to the first answer of a stream or a list.
    pub connect: Duration,
    pub answer: Duration,
    pub first_answer: Duration,
    /// Silence after which the stream of news is dialled again.
    pub news_silent: Duration,
    /// How long discovery is asked to wait, and how late it may be beyond that.
    pub list_wait: Duration,
    pub list_late: Duration,
    /// How long a kept connection may idle before it is not used again.
    pub idle: Duration,
    /// Pauses before something is tried again: the first, and the longest.
    pub again: (Duration, Duration),
    /// How long the start may wait for list and news before guests are let in.
    pub start: Duration,
    /// Least time between two lines on odd messages of one kind.
    pub odd_line: Duration,
}

impl Limits {
    /// Limits that hold within what this machine grants. Half the descriptors are for guests, so that a crowd
    /// never leaves none for relay and discovery; and all that guests may have begun to say fits in half the
    /// memory, with 128 KiB for each that speaks HTTP.
    pub fn within(memory_mb: Option<u64>, sockets: Option<u64>) -> Limits {
        let ms = Duration::from_millis;
        let (memory_mb, sockets) = (memory_mb.unwrap_or(192), sockets.unwrap_or(1024));
        let guests = (sockets / 2).min(memory_mb * 3).clamp(8, 512);
        Limits {
            guests: guests as usize,
            collectors: (memory_mb / 8).min(guests / 2).clamp(4, 24) as usize,
            message: 1 << 20,
            first_message: 32 << 10,
            words: 4096,
            figure: 1e9,
            span: ms(600_000),
            unnamed_guest: ms(1500),
            one_message: ms(3000),
            write: ms(500),
            call: 60_000,
            dropped_at_once: 8,
            malformed: 4,
            reply: 16 << 10,
            news_line: 256 << 10,
            list: 8 << 20,
            connect: ms(300),
            answer: ms(150),
            first_answer: ms(1000),
            news_silent: ms(1700),
            list_wait: ms(2000),
            list_late: ms(400),
            idle: ms(4000),
            again: (ms(20), ms(250)),
            start: ms(1000),
            odd_line: ms(5000),
        }
    }
}

impl Limits {
    /// The pause before something is tried again after so many failures: twice as long each time.
    pub fn pause(&self, failures: u32) -> Duration {
        let (first, longest) = self.again;
        (first * (1 << failures.min(8))).min(longest)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a crowd that takes the last descriptor, or the last of the memory.
    #[test]
    fn guests_leave_half_of_what_there_is() {
        let most = |memory_mb: u64, sockets: u64| {
            let limits = Limits::within(Some(memory_mb), Some(sockets));
            let bytes = limits.guests * (128 << 10) + limits.collectors * limits.message;
            assert!(bytes as u64 <= (memory_mb << 20) / 2 + (5 << 20) && limits.guests as u64 <= sockets / 2);
            (limits.guests, limits.collectors)
        };
        assert_eq!(most(192, 1024), (512, 24));
        assert_eq!(most(2048, 4096), (512, 24));
        assert_eq!(most(64, 1024), (192, 8));
        assert_eq!(most(192, 64), (32, 16));
    }
}
