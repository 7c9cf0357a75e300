//! What binds the desk.

use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Nodes of one page. Each is asked, over a connection that may have to be opened first.
    pub nodes: usize,
    /// Rows of one page of servers, routes or locks: a page is under 200 KB, built in a few milliseconds.
    pub rows: usize,
    /// Nodes that are asked for tales. Others are named as silent.
    pub asked: usize,
    /// Tales of one id that a node tells.
    pub tales: usize,
    /// Questions to other nodes under way at once; one more is turned away.
    pub surveys: usize,
    /// Nodes are waited for so long: callers go on elsewhere after a second.
    pub patience: Duration,
    /// Editions remembered.
    pub editions: usize,
    /// Services without a server that a node names.
    pub bare: usize,
    /// Bytes of an id that is asked about.
    pub id: usize,
}

impl Terms {
    pub const USUAL: Terms = Terms {
        nodes: 64,
        rows: 500,
        asked: 256,
        tales: 16,
        surveys: 8,
        patience: Duration::from_millis(700),
        editions: 64,
        bare: 16,
        id: 1024,
    };
}
