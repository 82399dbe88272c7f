//! Runs the two programs as processes against the stand-ins.

#![allow(dead_code)]

pub mod crossing;
pub mod operator;
pub mod platform;
pub mod quota;
pub mod site;
pub mod way;

use std::{
    io::{BufRead, BufReader},
    net::{IpAddr, SocketAddr, TcpListener},
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
    thread,
    time::Duration,
};

use serde::Serialize;
use serde_json::Value;
use tempfile::NamedTempFile;

pub const ENTRY: &str = env!("CARGO_BIN_EXE_wagtailhill");
pub const AGENT: &str = env!("CARGO_BIN_EXE_wagtailhill-agent");

/// A running program; dropping it kills it.
pub struct Process {
    child: Child,
    /// Fields of its `listening` line.
    pub listening: Value,
    _settings: NamedTempFile,
}

/// Starts `wagtailhill serve`.
pub fn serve(settings: &settings::Entry) -> Process {
    let file = write(settings);
    let mut command = Command::new(ENTRY);
    command.arg("serve").arg(file.path());
    start(command, file)
}

/// Starts `wagtailhill-agent`.
pub fn agent(settings: &settings::Agent) -> Process {
    let file = write(settings);
    let mut command = Command::new(AGENT);
    command.arg(file.path());
    start(command, file)
}

/// Starts `wagtailhill-agent --platform`.
pub fn admission(settings: &Value) -> Process {
    let file = write(settings);
    let mut command = Command::new(AGENT);
    command.arg("--platform").arg(file.path());
    start(command, file)
}

/// Starts `wagtailhill gateway`.
pub fn gateway(settings: &Value) -> Process {
    let file = write(settings);
    let mut command = Command::new(ENTRY);
    command.arg("gateway").arg(file.path());
    start(command, file)
}

/// Writes settings to a file that lives as long as the handle.
pub fn write(settings: &impl Serialize) -> NamedTempFile {
    let file = NamedTempFile::new().unwrap();
    serde_json::to_writer(&file, settings).unwrap();
    file
}

impl Process {
    /// An address of the `listening` line.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.listening[name].as_str().unwrap().parse().unwrap()
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status().unwrap();
        assert!(sent.success());
    }

    /// Stops it from running until it is woken; its connections stay open.
    pub fn freeze(&self) {
        self.signal("STOP");
    }

    /// Lets it run on.
    pub fn wake(&self) {
        self.signal("CONT");
    }

    /// Process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the end.
    pub fn wait(mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    /// Kills it at once.
    pub fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended on its own, which is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// After this a wait is given up, so that a fault fails a test instead of hanging it.
const PATIENCE: Duration = Duration::from_secs(30);

/// Waits until something holds.
pub async fn until(mut holds: impl FnMut() -> bool) {
    until_async(async || holds()).await;
}

/// The same for something that takes a question to find out.
pub async fn until_async(mut holds: impl AsyncFnMut() -> bool) {
    let waited = tokio::time::timeout(PATIENCE, async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    waited.await.expect("what a test waits for didn't come");
}

/// Waits until an entry process is ready for work.
pub async fn ready(entry: &Process) {
    while !is_ready(entry).await {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until an entry process on the users' platform is ready for work.
pub async fn gateway_ready(entry: &Process) {
    let url = format!("http://{}/api/readiness", entry.address("operators"));
    until_async(async || reqwest::get(&url).await.is_ok_and(|answer| answer.status().is_success()))
        .await;
}

/// Waits until an entry process asks for no more work.
pub async fn unready(entry: &Process) {
    while is_ready(entry).await {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn is_ready(entry: &Process) -> bool {
    let url = format!("http://{}/health/ready", entry.address("operators"));
    reqwest::get(&url).await.is_ok_and(|answer| answer.status().is_success())
}

fn start(mut command: Command, settings: NamedTempFile) -> Process {
    let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap());
    let listening = find_listening(&mut lines);
    thread::spawn(move || lines.lines().count());
    Process { child, listening, _settings: settings }
}

fn find_listening(lines: &mut BufReader<ChildStdout>) -> Value {
    let mut last = String::new();
    loop {
        let mut line = String::new();
        let length = lines.read_line(&mut line).unwrap();
        assert_ne!(length, 0, "the program ended early, its last line: {last}");
        let record: Value = serde_json::from_str(&line).unwrap();
        if record["message"] == "listening" {
            return record;
        }
        last = line;
    }
}

/// Returns a port that is free, and the next one too, at all of these addresses.
pub fn free_ports(hosts: &[IpAddr]) -> u16 {
    loop {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
        let port = listener.local_addr().expect("it has an address").port();
        let is_free = |ip, port| TcpListener::bind(SocketAddr::new(ip, port)).is_ok();
        if port < u16::MAX && hosts.iter().all(|&ip| is_free(ip, port) && is_free(ip, port + 1)) {
            return port;
        }
    }
}
