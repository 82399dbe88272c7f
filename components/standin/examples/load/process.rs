//! Starts the two programs and reads what the operating system says of them.

use std::{
    env, fs,
    io::{self, BufRead, BufReader, Error},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, ChildStdout, Command, Stdio},
    thread,
    time::Duration,
};

use serde::Serialize;
use serde_json::Value;
use tempfile::NamedTempFile;

const CONTROL_THREAD: &str = "control";

/// A running program; dropping it kills it.
pub struct Process {
    child: Child,
    listening: Value,
    _settings: NamedTempFile,
}

/// What a process used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time of its control thread.
    pub control: Duration,
    /// Processor time of all its threads.
    pub all: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
}

/// Starts a program that was built beside this example, and waits until it listens.
pub fn start(program: &str, arguments: &[&str], settings: &impl Serialize) -> io::Result<Process> {
    let file = NamedTempFile::new()?;
    serde_json::to_writer(&file, settings)?;
    let mut child = Command::new(beside(program)?)
        .args(arguments)
        .arg(file.path())
        .stdout(Stdio::piped())
        .spawn()?;
    let stdout = child.stdout.take().ok_or_else(|| Error::other("the program has no output"))?;
    let mut lines = BufReader::new(stdout);
    let listening = find_listening(&mut lines)?;
    thread::spawn(move || lines.lines().count());
    Ok(Process { child, listening, _settings: file })
}

impl Process {
    /// An address of the line that says that it listens.
    pub fn address(&self, name: &str) -> SocketAddr {
        let address = self.listening[name].as_str().and_then(|address| address.parse().ok());
        address.expect("a listening program logs its addresses")
    }

    /// What it used so far.
    pub fn usage(&self) -> io::Result<Usage> {
        let root = PathBuf::from(format!("/proc/{}", self.child.id()));
        let mut usage = Usage { resident: resident(&root)?, ..Usage::default() };
        for task in fs::read_dir(root.join("task"))? {
            let task = task?.path();
            let spent = spent(&task)?;
            usage.all += spent;
            if fs::read_to_string(task.join("comm"))?.trim() == CONTROL_THREAD {
                usage.control += spent;
            }
        }
        Ok(usage)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended on its own, which is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn beside(program: &str) -> io::Result<PathBuf> {
    let example = env::current_exe()?;
    let built = example.parent().and_then(|examples| examples.parent());
    let program = built.ok_or_else(|| Error::other("no build folder"))?.join(program);
    match program.exists() {
        true => Ok(program),
        false => Err(Error::other("build the programs first: cargo build --release")),
    }
}

fn find_listening(lines: &mut BufReader<ChildStdout>) -> io::Result<Value> {
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line)? == 0 {
            return Err(Error::other("the program ended early"));
        }
        let record: Value = serde_json::from_str(&line)?;
        if record["message"] == "listening" {
            return Ok(record);
        }
    }
}

/// Processor time of one thread: the first field of its `schedstat`, in nanoseconds.
fn spent(task: &std::path::Path) -> io::Result<Duration> {
    let text = fs::read_to_string(task.join("schedstat"))?;
    let nanos = text.split_whitespace().next().and_then(|nanos| nanos.parse().ok());
    nanos.map(Duration::from_nanos).ok_or_else(|| Error::other("schedstat can't be read"))
}

fn resident(root: &std::path::Path) -> io::Result<u64> {
    const KIB: u64 = 1_024;
    let status = fs::read_to_string(root.join("status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kib.map(|kib| kib * KIB).ok_or_else(|| Error::other("no VmRSS line"))
}
