//! A supervisor as a process, and the stand-ins around it.

use fallgap_test_support::Listener;
use fallgap_test_support::discovery::Discovery;
use fallgap_test_support::dns::NameServer;
use fallgap_test_support::relay::Relay;
use serde_json::{Value, json};
use std::future::Future;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const EXAMPLE: &str = include_str!("../../../../examples/configuration.json");

/// A supervisor at work, and the lines it has written since.
pub struct Node {
    pub child: Child,
    lines: mpsc::Receiver<String>,
    pub at: SocketAddr,
    file: PathBuf,
    operator: PathBuf,
}

pub struct World {
    pub relay: Rc<Relay>,
    pub discovery: Rc<Discovery>,
    pub dns: Rc<NameServer>,
    pub dns_at: SocketAddr,
    pub configuration: Value,
    /// The text of the operator's file; `None`: none is named.
    pub operator: Option<String>,
    file: PathBuf,
}

impl World {
    /// Relay and discovery with two servers in each zone, and no supervisor yet.
    pub async fn open(name: &str) -> World {
        let (relay, discovery) = (Rc::new(Relay::default()), Rc::new(Discovery::default()));
        for (server, zone) in [("n-1", "north"), ("n-2", "north"), ("s-1", "south"), ("s-2", "south")] {
            discovery.set(server, zone, "ready", 0);
        }
        let mut configuration: Value = serde_json::from_str(EXAMPLE).unwrap();
        let listener = Listener::open("127.0.0.1:0").await.unwrap();
        configuration["store"]["address"] = json!(listener.address);
        actix_rt::spawn(relay.clone().serve(listener));
        let listener = Listener::open("127.0.0.1:0").await.unwrap();
        configuration["discovery"] = json!(listener.address);
        actix_rt::spawn(discovery.clone().serve(listener));
        configuration["listen"] = json!("127.0.0.1:0");
        // Tables hold servers of the proxy's own zone alone: easily told.
        configuration["settings"]["family_info"]["home_only"] = json!([true, true]);
        let file = std::env::temp_dir().join(format!("fallgap-{}-{name}.json", std::process::id()));
        let dns = Rc::new(NameServer::default());
        let dns_at = dns.listen("127.0.0.1:0").await.unwrap();
        World { relay, discovery, dns, dns_at, configuration, operator: None, file }
    }

    /// Starts a supervisor and waits until it serves.
    pub async fn node(&self) -> Node {
        std::fs::write(&self.file, self.configuration.to_string()).unwrap();
        let operator = self.file.with_extension("kdl");
        let mut command = Command::new(env!("CARGO_BIN_EXE_fallgap"));
        if let Some(text) = &self.operator {
            std::fs::write(&operator, text).unwrap();
            command.env("NODE_OPERATOR", &operator);
        }
        let mut child = command.env("NODE_CONFIG", &self.file).stderr(Stdio::piped()).spawn().unwrap();
        let (sender, lines) = mpsc::channel();
        let errors = BufReader::new(child.stderr.take().unwrap());
        std::thread::spawn(move || errors.lines().map_while(Result::ok).try_for_each(|l| sender.send(l)));
        let mut node =
            Node { child, lines, at: "127.0.0.1:0".parse().unwrap(), file: self.file.clone(), operator };
        let line = node.line("serves at").await;
        node.at = line.rsplit(' ').next().unwrap().parse().unwrap();
        node
    }

    pub fn configuration_path(&self) -> PathBuf {
        self.file.clone()
    }
    pub fn operator_path(&self) -> PathBuf {
        self.file.with_extension("kdl")
    }

    /// Joins a proxy and waits until it is bound.
    pub async fn bound(&self, proxy: u64, zone: &str) {
        self.relay.join(proxy, zone, 20.0, true);
        self.relay.until(|r| r.bound.borrow().contains_key(&proxy)).await;
    }

    pub fn lines(&self, proxy: u64) -> Vec<String> {
        self.relay.tables.borrow().get(&proxy).map_or(Vec::new(), |t| t.keys().cloned().collect())
    }
}

impl Node {
    /// Waits for a line that holds this.
    pub async fn line(&mut self, part: &str) -> String {
        loop {
            match self.lines.try_recv() {
                Ok(line) if line.contains(part) => return line,
                Ok(_) => {}
                Err(mpsc::TryRecvError::Empty) => sleep(Duration::from_millis(5)).await,
                Err(mpsc::TryRecvError::Disconnected) => panic!("ended without {part:?}"),
            }
        }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &id]).status().unwrap().success());
    }

    /// Replaces the configuration and has it read.
    pub async fn hang_up(&mut self, configuration: &str) -> String {
        std::fs::write(&self.file, configuration).unwrap();
        self.signal("HUP");
        self.line("new configuration").await
    }

    /// Replaces the operator's file and has it read.
    pub async fn install(&mut self, operator: &str) -> String {
        std::fs::write(&self.operator, operator).unwrap();
        self.signal("HUP");
        self.line("operator's file").await
    }

    /// One of the counters as it is now.
    pub async fn count(&self, name: &str) -> Option<u64> {
        let mut stream = TcpStream::connect(self.at).await.unwrap();
        stream.write_all(b"GET /counters HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").await.unwrap();
        let mut page = String::new();
        stream.read_to_string(&mut page).await.unwrap();
        let (_, count) = page.lines().filter_map(|l| l.split_once(' ')).find(|(n, _)| *n == name)?;
        Some(count.parse().unwrap())
    }

    /// Asks for the counters until one of them has come this far.
    pub async fn counted(&self, name: &str, least: u64) {
        while self.count(name).await.is_none_or(|count| count < least) {
            sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
        let _ = std::fs::remove_file(self.file.with_extension("kdl"));
    }
}

/// Waits until a connection is closed or reset: either way there is no more of it.
pub async fn gone(stream: &mut TcpStream) -> bool {
    let mut said = Vec::new();
    timeout(Duration::from_secs(5), stream.read_to_end(&mut said)).await.is_ok()
}

/// Runs a test, which fails if what it waits for never comes.
pub fn play<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let ended = actix_rt::System::new().block_on(async { timeout(Duration::from_secs(60), test()).await });
    ended.expect("what was waited for never came");
}
