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
    /// How long a guest may say nothing at all, and how long an answer to it may take to write.
    pub silent_guest: Duration,
    pub write: Duration,
    /// Bytes of orders in one call, as encoded.
    pub call: usize,
    /// Orders of one call that may be dropped with a line each and no pause: a relay that takes none at all
    /// gets time between the next ones.
    pub dropped_at_once: u32,
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

impl Default for Limits {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Limits {
            guests: 512,
            collectors: 24,
            message: 1 << 20,
            first_message: 32 << 10,
            words: 4096,
            silent_guest: ms(30_000),
            write: ms(500),
            call: 60_000,
            dropped_at_once: 8,
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
