//! A small fleet of supervisors as child processes, each at a loopback address of its own.

use super::client::{Reply, call};
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus};
use std::sync::mpsc::{Receiver, channel};
use std::thread::spawn;
use std::time::Duration;

/// The ports of every machine.
#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    /// The first and the last.
    inner: [u16; 2],
}

/// One machine, and the process on it if one was started.
pub struct Supervisor {
    pub ip: Ipv4Addr,
    pub zone: String,
    pub disk: bool,
    ports: Ports,
    folder: PathBuf,
    running: Option<(u32, Receiver<ExitStatus>)>,
}

/// The machines. All processes end with it, and its folder goes.
pub struct Landing {
    program: PathBuf,
    folder: PathBuf,
    pub machines: Vec<Supervisor>,
    /// What processes that are started from here on find in their environment, by name.
    pub environment: Vec<(String, String)>,
    /// Bounds in the settings of processes that are started from here on, as `name=value`.
    pub bounds: Vec<String>,
}

/// A port that is free at all of the addresses, for streams and datagrams.
fn free_port(ips: &[Ipv4Addr], taken: &[u16]) -> io::Result<u16> {
    for _ in 0..100 {
        let first = ips.first().copied().unwrap_or(Ipv4Addr::LOCALHOST);
        let port = TcpListener::bind((first, 0))?.local_addr()?.port();
        let free =
            |ip: &Ipv4Addr| TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok();
        if !taken.contains(&port) && ips.iter().all(free) {
            return Ok(port);
        }
    }
    Err(io::Error::other("no port is free"))
}

impl Landing {
    /// Machines at `net.1`, `net.2` and so on, one for each of `disks`, which tells whether it has one. Nothing
    /// is started yet.
    ///
    /// # Errors
    /// The folder or the addresses cannot be had.
    pub fn open(
        program: &Path, folder: &Path, net: [u8; 3], zones: &[&str], disks: &[bool],
    ) -> io::Result<Landing> {
        let ip = |last: u8| Ipv4Addr::new(net[0], net[1], net[2], last);
        let ips: Vec<Ipv4Addr> = (1..).zip(disks).map(|(last, _)| ip(last)).collect();
        let mut taken = Vec::new();
        for _ in 0..5 {
            taken.push(free_port(&ips, &taken)?);
        }
        let mut inner = [taken[3], taken[4]];
        inner.sort_unstable();
        let ports = Ports { front: taken[0], ready: taken[1], control: taken[2], inner };
        let zones = zones.iter().cycle();
        let machine = |((ip, disk), zone): ((Ipv4Addr, &bool), &&str)| {
            let folder = folder.join(ip.to_string());
            Supervisor { ip, zone: (*zone).to_owned(), disk: *disk, ports, folder, running: None }
        };
        let machines: Vec<Supervisor> = ips.into_iter().zip(disks).zip(zones).map(machine).collect();
        machines.iter().try_for_each(|machine| fs::create_dir_all(&machine.folder))?;
        let (program, folder) = (program.to_owned(), folder.to_owned());
        Ok(Landing { program, folder, machines, environment: Vec::new(), bounds: vec!["grace_s=3".into()] })
    }

    /// Starts the process of one machine, or all that do not run.
    ///
    /// # Errors
    /// The settings cannot be written, or the program not be started.
    pub fn start(&mut self, at: usize, first_start: bool) -> io::Result<()> {
        let seeds = self.machines.iter().take(3).map(|m| format!("\"{}\"", m.control()));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let bounds = self.bounds.iter().map(|bound| format!("\"{bound}\""));
        let bounds = bounds.collect::<Vec<_>>().join(",");
        let Some(machine) = self.machines.get_mut(at) else { return Ok(()) };
        fs::write(machine.settings(), machine.settings_text(&seeds, &bounds, first_start))?;
        let log = File::options().create(true).append(true).open(machine.log())?;
        let mut child = Command::new(&self.program)
            .arg("serve")
            .env("FALLGAP_CONFIG", machine.settings())
            .envs(self.environment.iter().map(|(name, value)| (name, value)))
            .stderr(log)
            .spawn()?;
        let (tell, told) = channel();
        machine.running = Some((child.id(), told));
        spawn(move || child.wait().map(|status| tell.send(status)));
        Ok(())
    }

    pub fn start_all(&mut self, first_start: bool) -> io::Result<()> {
        (0..self.machines.len()).try_for_each(|at| self.start(at, first_start))
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.machines.iter().map(Supervisor::control).collect()
    }
}

impl Drop for Landing {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.signal("KILL");
        }
        for machine in &mut self.machines {
            machine.wait(Duration::from_secs(5));
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Supervisor {
    pub fn front(&self) -> SocketAddr {
        (self.ip, self.ports.front).into()
    }

    pub fn ready(&self) -> SocketAddr {
        (self.ip, self.ports.ready).into()
    }

    pub fn control(&self) -> SocketAddr {
        (self.ip, self.ports.control).into()
    }

    /// Where other supervisors speak to it, by streams and datagrams.
    pub fn inner(&self) -> SocketAddr {
        (self.ip, self.ports.inner[0]).into()
    }

    /// Where its figures are.
    pub fn metrics(&self) -> SocketAddr {
        (self.ip, self.ports.inner[1]).into()
    }

    pub fn settings(&self) -> PathBuf {
        self.folder.join("local.json")
    }

    /// Its disk, where it has one.
    pub fn data(&self) -> PathBuf {
        self.folder.join("data")
    }

    /// What its processes have logged.
    pub fn log(&self) -> PathBuf {
        self.folder.join("log")
    }

    fn settings_text(&self, seeds: &str, bounds: &str, first_start: bool) -> String {
        let Supervisor { ip, zone, disk, ports, .. } = self;
        let Ports { front, ready, control, inner: [first, last] } = ports;
        let data = if *disk { format!(r#""data_dir":"{}","#, self.data().display()) } else { String::new() };
        format!(
            r#"{{"node":"{ip}","serves":["counter","head_office"],"ip":"{ip}","zone":"{zone}",
"counters_at":{{"front":"{ip}:{front}","ready":"{ip}:{ready}","control":"{ip}:{control}"}},
"inner_ports":[{first},{last}],"seeds":[{seeds}],"first_start":{first_start},"counted":{disk},{data}
"limits":{{"cpu_share":1.0,"memory_mb":260,"file_handles":1024,"link_mbps":1000.0,"disk_mb":64}},
"beat_s":0.5,"tolerate":{{"machines":1}},"bounds":[{bounds}]}}"#
        )
    }

    /// The id of the process that runs.
    pub fn process(&self) -> Option<u32> {
        self.running.as_ref().map(|(id, _)| *id)
    }

    /// Sends a signal to the process, by its name without `SIG`.
    pub fn signal(&mut self, name: &str) {
        if let Some((id, _)) = &self.running {
            let _ = Command::new("kill").args([format!("-{name}"), id.to_string()]).status();
        }
    }

    /// How the process ended; `None`: it did not in that time, or none was started.
    pub fn wait(&mut self, time: Duration) -> Option<ExitStatus> {
        let status = self.running.as_ref()?.1.recv_timeout(time).ok()?;
        self.running = None;
        Some(status)
    }

    /// Asks its control address.
    pub fn get(&self, path: &str) -> Option<Reply> {
        call(self.control(), "GET", path, "")
    }

    pub fn post(&self, path: &str, body: &str) -> Option<Reply> {
        call(self.control(), "POST", path, body)
    }

    /// A figure of its status.
    pub fn figure(&self, name: &str) -> Option<u64> {
        let status = self.get("/-/status")?.text();
        let (_, rest) = status.split_once(&format!("\"{name}\":"))?;
        rest.split([',', '}']).next()?.parse().ok()
    }

    /// A figure of its page of figures, whole.
    pub fn metric(&self, name: &str) -> Option<u64> {
        let page = call(self.metrics(), "GET", "/metrics", "")?.text();
        let line = page.lines().find_map(|line| line.strip_prefix(&format!("fallgap_{name} ")))?;
        line.trim().parse::<f64>().ok().map(|value| value as u64)
    }

    pub fn is_ready(&self) -> bool {
        call(self.ready(), "GET", "/-/ready", "").is_some_and(|reply| reply.status == 200)
    }
}
