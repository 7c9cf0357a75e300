//! Times and bounds of the keepers.

use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// All times and bounds. At each bound it is said what happens there.
#[derive(Clone, Debug, Hash)]
pub struct Terms {
    /// A call is answered within this: `Unknown` if its effect was sent out, else `Busy`.
    pub call: Duration,
    /// What was begun goes on for so long after its callers have gone: what disks have done for it is not thrown away.
    pub decision: Duration,
    /// Bytes of the calls of one register that are carried out though nobody waits for them; those beyond are given up.
    pub gone_bytes: usize,
    /// Another node's attempt on a register is left alone for so long at most from when it went forward last, however slow disks
    /// are.
    pub defer: Duration,
    /// All such waits together, until an own attempt was lost.
    pub defer_in_all: Duration,
    /// Requests that nobody answered go out again after this.
    pub resend: Duration,
    /// How long a read waits for the rest, once a majority has answered without agreeing.
    pub patience: Duration,
    /// How long an attempt goes on after its first refusal.
    pub contest: Duration,
    /// How long a keeper's own reads go on without agreement before it writes what it found: the steward at once, each
    /// further member so much later.
    pub contested: Duration,
    /// The pause after a lost attempt is drawn between these and doubles with each loss.
    pub pause_least: Duration,
    pub pause_most: Duration,
    /// The pause doubles this often at most.
    pub pause_doublings: u32,
    /// A sign of life goes to each member after this without other messages.
    pub pulse: Duration,
    /// However much else is said, the whole pulse goes out after this.
    pub pulse_whole: Duration,
    /// A majority of members heard within this: settled.
    pub settled: Duration,
    /// A member that was not heard for so long is followed by nobody: `settled`, `pulse_whole`, the time that followers
    /// take to be elsewhere, and a margin for clocks.
    pub unfollowed: Duration,
    /// Who has said for so long that it is out of contact is followed by nobody: followers bear silence for 1.2 s.
    pub let_go: Duration,
    /// A member heard within this counts as alive, for stewards and for calls.
    pub alive: Duration,
    /// A member silent this long is replaced by one that stands by.
    pub replace: Duration,
    /// A machine that stands by this long is added.
    pub add: Duration,
    /// A member silent this long is taken out, if the rest are enough.
    pub remove: Duration,
    /// Delays before a change of members are drawn up to this, and rise by it with the rank.
    pub change: Duration,
    /// The delay doubles this often at most while several ask for changes.
    pub contention_doublings: u32,
    /// Who has not answered on a change is asked again after this.
    pub decide: Duration,
    /// A change that another node asks for is left alone for this long; longer with each contention, doubled so often
    /// at most.
    pub yielding: Duration,
    pub yielding_doublings: u32,
    /// A wake-up later than this was a freeze: the others' silence is counted anew.
    pub freeze: Duration,
    /// A seed proposes the first members after this long at the earliest, and this long without a new machine.
    pub found_least: Duration,
    pub found_quiet: Duration,
    /// It waits so long for one that is here and silent; and so long without a new one, while they are too few to lose
    /// as many as may be lost.
    pub found_few: Duration,
    /// A machine that has no members yet says so this often.
    pub present: Duration,
    /// One that is no member asks for the newest members this often.
    pub ask: Duration,
    /// A newcomer asks again after this.
    pub fetch: Duration,
    /// Reads of the configuration and of watched groups that make good for lost hints.
    pub poll: Duration,
    /// Two members compare what they hold this often.
    pub compare: Duration,
    /// What changed within this is left out of comparing: it is still on its way.
    pub fresh: Duration,
    /// What a member missed is handed over this long after the write, if it is there.
    pub handover: Duration,
    /// Under pressure registers that nobody uses are looked for this often.
    pub reuse: Duration,
    /// A lock that was free, or a number that was not asked for, this long is given up under pressure.
    pub unused: Duration,
    /// A watch waits this long at most, whatever it asks.
    pub watch: Duration,
    /// How far back watches may reach.
    pub history: Duration,
    /// Members at most: others stand by.
    pub members: usize,
    /// Calls that wait for one register; one more is `Busy` at once.
    pub waiting: usize,
    /// Calls that wait in all; one more is `Busy` at once.
    pub calls: usize,
    /// Watches that wait; one more is `Busy` at once.
    pub watches: usize,
    /// Registers; calls to one more are `Busy` at once. See [`Terms::for_machine`]. From three quarters of it on those that nobody uses are given
    /// up.
    pub registers: usize,
    /// Bytes of all values together: two snapshots and the logs between them have to fit on the disk. Calls that
    /// would write are `Busy` at once over it.
    pub bytes: usize,
    /// Bytes of a group's past values, as far as the group has digests alone; a put is `Busy` over it.
    pub past: usize,
    /// Bytes of past values that are given at one request; the rest is asked for again.
    pub past_given: usize,
    /// Past values that are asked for at once.
    pub past_wanted: usize,
    /// A watch whose puts' values are with others waits so long for them; then it is `Busy`.
    pub past_wait: Duration,
    /// A register's name in bytes; calls for longer ones are `Busy` at once.
    pub name: usize,
    /// Remembered ballots of registers that nobody calls; over it they are forgotten and prepared anew.
    pub remembered: usize,
    /// Registers noted as missed by one member; over it all is compared instead.
    pub missed: usize,
    /// Answers that wait for the disk; further ones are dropped, and asked for again.
    pub held: usize,
    /// Bytes of a page; a page has one entry at least.
    pub page: usize,
    /// Entries of a list's page.
    pub listed: usize,
    /// Registers that one message of repair makes a member look at anew: each is a round. Comparing finds the rest.
    pub looks: usize,
    /// Disk machines that are known besides the members; further ones are ignored.
    pub peers: usize,
    /// An operation is granted to nobody else for so long.
    pub claim_lifetime: Duration,
    /// Claims that a disk holds.
    pub claims: usize,
    /// Claims that are handed to a newcomer at a time.
    pub claims_given: usize,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            call: ms(900),
            decision: ms(10_000),
            gone_bytes: 4 << 20,
            defer: ms(4000),
            defer_in_all: ms(10_000),
            resend: ms(150),
            patience: ms(40),
            contest: ms(60),
            contested: ms(250),
            pause_least: ms(5),
            pause_most: ms(30),
            pause_doublings: 3,
            pulse: ms(200),
            pulse_whole: ms(1000),
            settled: ms(600),
            unfollowed: ms(2200),
            let_go: ms(1500),
            alive: ms(1000),
            replace: ms(1500),
            add: ms(2500),
            remove: ms(8000),
            change: ms(100),
            contention_doublings: 5,
            decide: ms(300),
            yielding: ms(3600),
            yielding_doublings: 2,
            freeze: ms(500),
            found_least: ms(1000),
            found_quiet: ms(700),
            found_few: ms(3000),
            present: ms(200),
            ask: ms(1000),
            fetch: ms(300),
            poll: ms(1000),
            compare: ms(2000),
            fresh: ms(1000),
            handover: ms(500),
            reuse: ms(1000),
            unused: ms(10_000),
            watch: ms(60_000),
            history: ms(20_000),
            members: 7,
            waiting: 256,
            calls: 4096,
            watches: 256,
            registers: 20_000,
            bytes: 16 << 20,
            past: 8 << 20,
            past_given: 2 << 20,
            past_wanted: 2048,
            past_wait: ms(800),
            name: 256,
            remembered: 2048,
            missed: 4096,
            held: 8192,
            page: 64 * 1024,
            listed: 512,
            looks: 16,
            peers: 64,
            claim_lifetime: ms(75_000),
            claims: 131_072,
            claims_given: 1024,
        }
    }
}

/// Registers that any machine bears, and the most for the largest.
const REGISTERS_LEAST: usize = 20_000;
const REGISTERS_MOST: usize = 100_000;
/// Memory in MB with which a machine bears the least, and the most.
const MEMORY_LEAST: usize = 64;
const MEMORY_MOST: usize = 256;
/// Registers for each MB of disk: two snapshots (the one in force, the next one) have to fit beside 16 MB of values
/// twice, the logs' quarter and what else is kept.
const REGISTERS_A_DISK_MB: usize = 940;

impl Terms {
    /// With the bound of registers that a machine's memory and disk bear, in MB. Members may differ: each refuses names
    /// beyond its own bound, and holds what others took.
    pub fn for_machine(memory_mb: u64, disk_mb: u64) -> Terms {
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX).clamp(MEMORY_LEAST, MEMORY_MOST);
        let more =
            (REGISTERS_MOST - REGISTERS_LEAST) * (memory - MEMORY_LEAST) / (MEMORY_MOST - MEMORY_LEAST);
        let disk = usize::try_from(disk_mb).unwrap_or(usize::MAX).saturating_mul(REGISTERS_A_DISK_MB);
        let registers = (REGISTERS_LEAST + more).min(disk).max(REGISTERS_LEAST);
        Terms { registers, ..Terms::default() }
    }
}
