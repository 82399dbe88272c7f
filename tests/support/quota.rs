//! Hosts with a quota of processor time: a process runs at full speed until it has used its quota of a period, and stands
//! still until the next one begins.

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

/// Period of the quotas.
const PERIOD: Duration = Duration::from_millis(100);
/// Largest extension of the running time in a period.
const MAX_WAITED: Duration = Duration::from_millis(40);
/// Interval between two looks at the processor time of a process.
const LOOK_INTERVAL: Duration = Duration::from_millis(1);

/// When a process stands still.
#[derive(Clone, Copy, Debug)]
pub enum Limit {
    /// From the moment at which it has used so much processor time in a period.
    ProcessorTime(Duration),
    /// From so long after the beginning of each period, however little it has to do. Time in which its threads wait for
    /// one of this machine's cores doesn't count, up to [`MAX_WAITED`].
    RunningTime(Duration),
}

/// A limited process.
struct Host {
    pid: u32,
    limit: Limit,
    period_start: Instant,
    /// Times of the process at the beginning of the period.
    before: Times,
    is_stopped: bool,
    /// Time for which the process was stopped so far.
    stopped_time: Duration,
}

/// Running limits; all processes run freely after `end`.
pub struct Handle {
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Host>>,
}

/// Limits each process in each [`PERIOD`]. The periods of the processes begin at different times.
pub fn spawn(limits: &[(u32, Limit)]) -> Handle {
    let is_over = Arc::new(AtomicBool::new(false));
    let now = Instant::now();
    let count = u32::try_from(limits.len()).expect("a few processes");
    let hosts = limits.iter().zip(0_u32..).map(|(&(pid, limit), number)| Host {
        pid,
        limit,
        period_start: now + PERIOD * number / count,
        before: times(pid),
        is_stopped: false,
        stopped_time: Duration::ZERO,
    });
    let (mut hosts, over) = (hosts.collect::<Vec<Host>>(), Arc::clone(&is_over));
    let thread = thread::spawn(move || {
        while !over.load(Ordering::Relaxed) {
            hosts.iter_mut().for_each(Host::update);
            thread::sleep(LOOK_INTERVAL);
        }
        hosts.iter_mut().for_each(Host::resume);
        hosts
    });
    Handle { is_over, thread }
}

impl Handle {
    /// Ends the limits. Returns for how long each process stood still.
    pub fn end(self) -> Vec<Duration> {
        self.is_over.store(true, Ordering::Relaxed);
        let hosts = self.thread.join().expect("the limits hold");
        hosts.into_iter().map(|host| host.stopped_time).collect()
    }
}

impl Host {
    fn update(&mut self) {
        let now = Instant::now();
        let period_end = self.period_start + PERIOD;
        if now >= period_end {
            self.resume();
            self.period_start = period_end;
            self.before = times(self.pid);
        } else if !self.is_stopped && self.is_used_up(now) {
            signal(self.pid, Signal::STOP);
            self.is_stopped = true;
            self.stopped_time += period_end - now;
        }
    }

    fn is_used_up(&self, now: Instant) -> bool {
        let Times { used, waited } = times(self.pid);
        match self.limit {
            Limit::ProcessorTime(quota) => used.saturating_sub(self.before.used) >= quota,
            Limit::RunningTime(time) => {
                let waited = waited.saturating_sub(self.before.waited);
                now >= self.period_start + time + waited.min(MAX_WAITED)
            }
        }
    }

    fn resume(&mut self) {
        if std::mem::take(&mut self.is_stopped) {
            signal(self.pid, Signal::CONT);
        }
    }
}

fn signal(pid: u32, signal: Signal) {
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw).expect("a process ID");
    // The test may have killed the process.
    let _ = kill_process(pid, signal);
}

/// Times of all threads of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Times {
    /// Processor time.
    pub used: Duration,
    /// Time for which threads that could run waited for a core.
    pub waited: Duration,
}

/// Returns the times of a process so far; zero where it has ended.
pub fn times(pid: u32) -> Times {
    let threads = fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten();
    threads.flatten().fold(Times::default(), |sum, thread| {
        // The thread may have ended meanwhile.
        let text = fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        let mut nanos = text.split(' ').map_while(|number| number.parse().ok());
        let mut next = || Duration::from_nanos(nanos.next().unwrap_or_default());
        Times { used: sum.used + next(), waited: sum.waited + next() }
    })
}
