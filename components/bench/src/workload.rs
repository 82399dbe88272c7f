//! Workload files: who sends what to which targets.

use std::{
    fs, io,
    path::{Path, PathBuf},
    time::Duration,
};

use displaydoc::Display;
use model::{
    id::{AccountName, PoolName, TierName, ZoneName},
    resource::Backing,
};
use serde::Deserialize;
use thiserror::Error;

/// Why a workload file can't be used.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// {path} can't be read: {error}
    Read {
        /// The file.
        path: String,
        /// What the system said.
        error: io::Error,
    },
    /// {path} isn't a workload: {error}
    Parse {
        /// The file.
        path: String,
        /// Line, column and fault.
        error: serde_json::Error,
    },
    /// {path}: {finding}
    Faulty {
        /// The file.
        path: String,
        /// The places and their faults.
        finding: String,
    },
}

/// A user's deployment and traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name in tables.
    pub name: String,
    /// Availability zones; targets are spread over them in turn, and each has one entry process.
    pub zones: Vec<ZoneName>,
    /// One way between two zones, in microseconds.
    pub link_us: u64,
    /// One way between a client and an entry process, in microseconds.
    pub client_us: u64,
    /// Tiers, the highest first.
    pub tiers: Vec<Tier>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// The account that floods in the scenario of that name.
    pub flooding: AccountName,
    /// Prompts' shared beginnings.
    pub corpora: Vec<Corpus>,
    /// Target pools.
    pub pools: Vec<Pool>,
}

/// A tier.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: TierName,
    /// Time for a whole answer, in milliseconds.
    pub deadline_ms: u64,
}

/// A client account.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its name.
    pub name: AccountName,
    /// Its share of all requests; the shares sum to 1.
    pub share: f64,
}

/// Documents that many prompts begin with.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Corpus {
    /// Its name.
    pub name: String,
    /// How many documents there are; their popularity follows Zipf's law.
    pub prefixes: u64,
    /// Blocks of each.
    pub blocks: u32,
}

/// A pool with its engines and traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Its name.
    pub name: PoolName,
    /// What its targets are.
    pub backing: Backing,
    /// The pool's patience setting, in milliseconds.
    pub patience_ms: u64,
    /// Its targets.
    pub targets: usize,
    /// Speeds of the targets in percent, in turn.
    pub speeds: Vec<u32>,
    /// The engine at 100 percent.
    pub engine: Shape,
    /// What is asked of it.
    pub classes: Vec<Class>,
}

/// An engine.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Time of a step with an empty batch, in microseconds.
    pub step_us: u64,
    /// Added to a step for each run that decodes, in microseconds.
    pub run_us: u64,
    /// Added to a step for each token of prefill, in microseconds.
    pub prefill_us: u64,
    /// Most tokens of prefill in one step.
    pub chunk: u32,
    /// Most runs in the batch.
    pub slots: usize,
    /// Tokens that the batch may hold.
    pub tokens: u64,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
}

/// A kind of request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its tier.
    pub tier: TierName,
    /// Its share of the pool's requests; the shares sum to 1.
    pub share: f64,
    /// What its prompts begin with.
    #[serde(default)]
    pub corpus: Option<String>,
    /// Least and most tokens of prompt after the shared beginning.
    pub prefill: [u32; 2],
    /// Least and most tokens that it may generate.
    pub decode: [u32; 2],
}

/// The workload files that come with the bench.
pub fn shipped() -> Vec<PathBuf> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("workloads");
    ["tallinna.json", "tunturipolku.json"].map(|name| directory.join(name)).to_vec()
}

/// Reads and checks a workload file.
pub fn load(path: &Path) -> Result<Workload, Error> {
    let name = path.display().to_string();
    let text =
        fs::read_to_string(path).map_err(|error| Error::Read { path: name.clone(), error })?;
    let workload: Workload =
        serde_json::from_str(&text).map_err(|error| Error::Parse { path: name.clone(), error })?;
    let findings = workload.check();
    if findings.is_empty() {
        return Ok(workload);
    }
    Err(Error::Faulty { path: name, finding: findings.join("; ") })
}

impl Workload {
    /// Rank of a tier: its place in the list.
    pub fn rank(&self, tier: &str) -> usize {
        self.tiers.iter().position(|other| other.name == tier).unwrap_or(self.tiers.len())
    }

    /// Time for an answer of a tier.
    pub fn deadline(&self, rank: usize) -> Duration {
        Duration::from_millis(self.tiers[rank].deadline_ms)
    }

    /// Place of a corpus in the list.
    pub fn corpus(&self, name: &str) -> Option<usize> {
        self.corpora.iter().position(|corpus| corpus.name == name)
    }

    fn check(&self) -> Vec<String> {
        let mut findings = Vec::new();
        if self.zones.is_empty() || self.tiers.is_empty() || self.pools.is_empty() {
            findings.push("zones, tiers, pools: none may be empty".to_owned());
        }
        findings.extend(shares("accounts", self.accounts.iter().map(|account| account.share)));
        if !self.accounts.iter().any(|account| account.name == self.flooding) {
            findings.push(format!("flooding: there is no account `{}`", self.flooding));
        }
        for (index, pool) in self.pools.iter().enumerate() {
            self.check_pool(&format!("pools[{index}]"), pool, &mut findings);
        }
        findings
    }

    fn check_pool(&self, place: &str, pool: &Pool, findings: &mut Vec<String>) {
        let sizes = pool.targets > 0 && !pool.speeds.is_empty() && !pool.speeds.contains(&0);
        if !sizes || pool.engine.slots == 0 || pool.engine.chunk == 0 || pool.engine.step_us == 0 {
            findings.push(format!("{place}: targets, speeds, slots, chunk, step_us: at least 1"));
        }
        let place_classes = format!("{place}.classes");
        findings.extend(shares(&place_classes, pool.classes.iter().map(|class| class.share)));
        for (index, class) in pool.classes.iter().enumerate() {
            self.check_class(&format!("{place_classes}[{index}]"), class, findings);
        }
    }

    fn check_class(&self, place: &str, class: &Class, findings: &mut Vec<String>) {
        if self.rank(&class.tier) == self.tiers.len() {
            findings.push(format!("{place}.tier: there is no tier `{}`", class.tier));
        }
        if let Some(corpus) = class.corpus.as_ref().filter(|name| self.corpus(name).is_none()) {
            findings.push(format!("{place}.corpus: there is no corpus `{corpus}`"));
        }
        for range in [class.prefill, class.decode] {
            if range[0] == 0 || range[0] > range[1] {
                findings.push(format!("{place}: a range must rise and begin above 0"));
            }
        }
    }
}

impl Pool {
    /// Speed of a target, as a factor.
    pub fn speed(&self, target: usize) -> f64 {
        f64::from(self.speed_percent(target)) / 100.0
    }

    /// Speed of a target in percent.
    pub fn speed_percent(&self, target: usize) -> u32 {
        self.speeds[target % self.speeds.len()]
    }

    /// Requests a second that the pool carries at most: full batches, every shared prefix cached.
    pub fn capacity(&self, workload: &Workload) -> f64 {
        let speed: f64 = (0..self.targets).map(|target| self.speed(target)).sum();
        let tokens: f64 = self.classes.iter().map(|class| class.share * class.held(workload)).sum();
        let batch = (self.engine.tokens as f64 / tokens).min(self.engine.slots as f64).max(1.0);
        let token_us = self.engine.step_us as f64 / batch + self.engine.run_us as f64;
        let cost = |class: &Class| {
            let prefill = mean(class.prefill) * self.engine.prefill_us as f64;
            class.share * (prefill + class.generated() * token_us)
        };
        let microseconds: f64 = self.classes.iter().map(cost).sum();
        speed * 1e6 / microseconds
    }
}

impl Class {
    /// Mean tokens that a request of this class generates.
    fn generated(&self) -> f64 {
        mean(self.decode) * crate::arrival::GENERATED_MEAN
    }

    fn held(&self, workload: &Workload) -> f64 {
        let corpus = self.corpus.as_ref().and_then(|name| workload.corpus(name));
        let blocks = corpus.map_or(0, |index| workload.corpora[index].blocks);
        f64::from(blocks * crate::cache::BLOCK_TOKENS) + mean(self.prefill) + mean(self.decode)
    }
}

/// Mean of the log-uniform distribution over a range.
fn mean(range: [u32; 2]) -> f64 {
    let [low, high] = range.map(f64::from);
    if low == high {
        return low;
    }
    (high - low) / (high / low).ln()
}

fn shares(place: &str, shares: impl Iterator<Item = f64>) -> Option<String> {
    const TOLERANCE: f64 = 1e-6;
    let sum: f64 = shares.sum();
    let fits = (sum - 1.0).abs() < TOLERANCE;
    (!fits).then(|| format!("{place}: the shares sum to {sum}, not to 1"))
}
