//! Real keepers as processes, hollow supervisors in a few more, and what the system says of them.

use crate::crew::{keeper_ip, wall_ms};
use std::collections::BTreeMap;
use std::error::Error;
use std::fs::{self, File, read_to_string};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub type Outcome<T> = Result<T, Box<dyn Error>>;

/// What a crew told last, and when all of its supervisors held an edition.
#[derive(Clone, Debug, Default)]
pub struct Told {
    pub there: u64,
    /// Confirmed by their homes within a second.
    pub fresh: u64,
    pub least: u64,
    pub known: u64,
    /// Sums since the start: words and bytes out and in, whole tables and differences with their bytes, datagrams.
    pub sums: [u64; 11],
    pub editions: BTreeMap<u64, u64>,
    pub at: u64,
}

struct Crew {
    child: Child,
    orders: ChildStdin,
    told: Arc<Mutex<Told>>,
}

pub struct Keeper {
    pub at: usize,
    child: Option<Child>,
    folder: PathBuf,
}

/// Processor time in seconds by thread, and memory in kB: now, and at most.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    pub threads: BTreeMap<String, f64>,
    pub resident: u64,
    pub most: u64,
    /// Of it not pages of files.
    pub anonymous: u64,
}

impl Usage {
    pub fn all(&self) -> f64 {
        self.threads.values().sum()
    }
    /// The one thread that holds all cores.
    pub fn engine(&self) -> f64 {
        self.threads.get("engine").copied().unwrap_or_default()
    }
}

pub struct Fleet {
    program: PathBuf,
    folder: PathBuf,
    net: u8,
    pub ports: [u16; 2],
    pub keepers: Vec<Keeper>,
    crews: Vec<Crew>,
    guard: Option<(Child, ChildStdin)>,
}

fn free_port(net: u8, keepers: usize) -> Outcome<u16> {
    for _ in 0..100 {
        let port = TcpListener::bind((keeper_ip(net, 0), 0))?.local_addr()?.port();
        let free = |at| {
            let ip = keeper_ip(net, at);
            TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok()
        };
        if (0..keepers).all(free) {
            return Ok(port);
        }
    }
    Err("no port is free".into())
}

impl Fleet {
    pub fn open(program: &Path, folder: &Path, net: u8, keepers: usize) -> Outcome<Fleet> {
        let keeper = |at: usize| Keeper { at, child: None, folder: folder.join(format!("k{at}")) };
        let fleet = Fleet {
            program: program.to_owned(),
            folder: folder.to_owned(),
            net,
            ports: [free_port(net, keepers)?, free_port(net, keepers)?],
            keepers: (0..keepers).map(keeper).collect(),
            crews: Vec::new(),
            guard: None,
        };
        fleet.keepers.iter().try_for_each(|keeper| fs::create_dir_all(&keeper.folder))?;
        Ok(fleet)
    }

    pub fn control(&self, at: usize) -> String {
        format!("{}:{}", keeper_ip(self.net, at), self.ports[0])
    }

    pub fn start_keeper(&mut self, at: usize, first_start: bool) -> Outcome<()> {
        let (ip, [control, inner]) = (keeper_ip(self.net, at), self.ports);
        let seeds: Vec<String> =
            (0..self.keepers.len().min(3)).map(|at| format!("\"{}\"", self.control(at))).collect();
        let Some(keeper) = self.keepers.get_mut(at) else { return Ok(()) };
        let text = format!(
            r#"{{"node":"{ip}","serves":["head_office"],"ip":"{ip}","zone":"zone-{at}",
"counters_at":{{"control":"{ip}:{control}"}},"inner_ports":[{inner},{inner}],"seeds":[{}],
"first_start":{first_start},"counted":true,"data_dir":"{}",
"limits":{{"cpu_share":1.0,"memory_mb":256,"file_handles":4096,"link_mbps":1000.0,"disk_mb":64}},
"beat_s":1.5,"tolerate":{{"machines":2}},"bounds":["grace_s=3"]}}"#,
            seeds.join(","),
            keeper.folder.join("data").display()
        );
        let settings = keeper.folder.join("local.json");
        fs::write(&settings, text)?;
        let log = File::options().create(true).append(true).open(keeper.folder.join("log"))?;
        let child = Command::new(&self.program)
            .arg("serve")
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()?;
        keeper.child = Some(child);
        self.set_guard()
    }

    /// A process of its own ends the keepers if this one is killed.
    fn set_guard(&mut self) -> Outcome<()> {
        let ids = self.keepers.iter().filter_map(|keeper| keeper.child.as_ref());
        let ids: Vec<String> = ids.map(|child| child.id().to_string()).collect();
        let mut child = Command::new(std::env::current_exe()?)
            .arg("guard")
            .arg(&self.folder)
            .args(ids)
            .stdin(Stdio::piped())
            .spawn()?;
        let orders = child.stdin.take().ok_or("the guard has no input")?;
        if let Some((mut before, mut told)) = self.guard.replace((child, orders)) {
            let _ = told.write_all(b"done\n");
            drop(told);
            let _ = before.wait();
        }
        Ok(())
    }

    pub fn kill_keeper(&mut self, at: usize) {
        if let Some(mut child) = self.keepers.get_mut(at).and_then(|keeper| keeper.child.take()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn start_crew(&mut self, args: &[String]) -> Outcome<()> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg("crew")
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let orders = child.stdin.take().ok_or("a crew has no input")?;
        let output = child.stdout.take().ok_or("a crew has no output")?;
        let told = Arc::new(Mutex::new(Told::default()));
        let held = told.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Ok(mut told) = held.lock() {
                    take(&mut told, &line);
                }
            }
        });
        self.crews.push(Crew { child, orders, told });
        Ok(())
    }

    /// Writes a line to all crews.
    pub fn order(&mut self, line: &str) -> Outcome<()> {
        for crew in &mut self.crews {
            writeln!(crew.orders, "{line}")?;
        }
        Ok(())
    }

    /// What all crews told last, as one.
    pub fn told(&self) -> Told {
        let mut all = Told { least: u64::MAX, known: u64::MAX, at: u64::MAX, ..Told::default() };
        let mut editions: BTreeMap<u64, (usize, u64)> = BTreeMap::new();
        for crew in &self.crews {
            let Ok(told) = crew.told.lock() else { continue };
            all.there += told.there;
            all.fresh += told.fresh;
            (all.least, all.known) = (all.least.min(told.least), all.known.min(told.known));
            all.at = all.at.min(told.at);
            all.sums.iter_mut().zip(told.sums).for_each(|(sum, more)| *sum += more);
            for (edition, at) in &told.editions {
                let held = editions.entry(*edition).or_default();
                *held = (held.0 + 1, held.1.max(*at));
            }
        }
        let whole = editions.into_iter().filter(|(_, (count, _))| *count == self.crews.len());
        all.editions = whole.map(|(edition, (_, at))| (edition, at)).collect();
        all
    }

    /// Of all keepers that run, by their numbers.
    pub fn usage(&self) -> BTreeMap<usize, Usage> {
        let running = self.keepers.iter().filter_map(|k| Some((k.at, k.child.as_ref()?.id())));
        running.map(|(at, id)| (at, usage(id))).collect()
    }

    pub fn ids(&self) -> Vec<u32> {
        self.keepers.iter().filter_map(|keeper| keeper.child.as_ref()).map(Child::id).collect()
    }

    /// Memory of this process and of all that it started, in kB.
    pub fn resident(&self) -> u64 {
        let crews = self.crews.iter().map(|crew| crew.child.id());
        self.ids().into_iter().chain(crews).map(|id| usage(id).resident).sum()
    }

    pub fn logs(&self) -> String {
        let logs = self.keepers.iter().map(|keeper| read_to_string(keeper.folder.join("log")));
        logs.map(Result::unwrap_or_default).collect::<Vec<_>>().join("---\n")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.keepers.len()).for_each(|at| self.kill_keeper(at));
        for crew in &mut self.crews {
            let _ = crew.child.kill();
            let _ = crew.child.wait();
        }
        if let Some((mut child, orders)) = self.guard.take() {
            drop(orders);
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn take(told: &mut Told, line: &str) {
    let mut parts = line.split(' ');
    let verb = parts.next().unwrap_or_default();
    let figures: Vec<u64> = parts.map(|part| part.parse().unwrap_or_default()).collect();
    match (verb, figures.as_slice()) {
        ("all", [edition, at]) => _ = told.editions.insert(*edition, *at),
        ("is", [there, fresh, least, _, known, sums @ ..]) => {
            (told.there, told.fresh, told.least, told.known) = (*there, *fresh, *least, *known);
            told.sums.iter_mut().zip(sums).for_each(|(sum, more)| *sum += more);
            told.at = wall_ms();
        }
        _ => {}
    }
}

fn usage(id: u32) -> Usage {
    let mut usage = Usage::default();
    for task in fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten() {
        // The first thread holds all cores; the others bear its name, or their own.
        let first = task.file_name().to_string_lossy() == id.to_string();
        let name = read_to_string(task.path().join("comm")).unwrap_or_default().trim().to_owned();
        let name = if first { "engine".to_owned() } else { name };
        let ran = read_to_string(task.path().join("schedstat")).unwrap_or_default();
        let nanos: f64 = ran.split(' ').next().and_then(|nanos| nanos.parse().ok()).unwrap_or_default();
        *usage.threads.entry(name).or_default() += nanos / 1e9;
    }
    let status = read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let kb = |name: &str| {
        let text = status.lines().find_map(|line| line.strip_prefix(name)?.trim().strip_suffix(" kB"));
        text.and_then(|kb| kb.parse().ok()).unwrap_or_default()
    };
    (usage.resident, usage.most, usage.anonymous) = (kb("VmRSS:"), kb("VmHWM:"), kb("RssAnon:"));
    usage
}

/// Waits until nobody writes any more, and ends what still runs of the processes named, if it is of that folder.
pub fn guard(folder: &str, ids: &[u32]) {
    let done = std::io::stdin().lock().lines().map_while(Result::ok).any(|line| line == "done");
    if done {
        return;
    }
    for id in ids {
        let command = fs::read(format!("/proc/{id}/cmdline")).unwrap_or_default();
        if String::from_utf8_lossy(&command).contains(folder) {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
    }
    std::thread::sleep(Duration::from_millis(200));
    let _ = fs::remove_dir_all(folder);
}
