//! Draws the requests of one run from a workload, with a fixed seed.

use std::time::Duration;

use model::reservation::BlockHash;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    cache::BLOCK_TOKENS,
    scenario::{Scenario, Span},
    workload::{Class, Pool, Workload},
};

/// Least share of its decode limit that a request generates; the most is all of it.
const GENERATED_MIN: f64 = 0.4;
/// Mean share of its decode limit that a request generates.
pub const GENERATED_MEAN: f64 = (GENERATED_MIN + 1.0) / 2.0;
/// Exponent of Zipf's law for the popularity of documents.
const SKEW: f64 = 0.8;

/// One request as its caller means it; it may be sent several times.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// When it is sent first.
    pub at: Duration,
    /// Its pool's place in the workload.
    pub pool: usize,
    /// Rank of its tier.
    pub rank: usize,
    /// Its account's place in the workload.
    pub account: usize,
    /// Entry that the balancer picks first.
    pub entry: usize,
    /// Blocks of its shared beginning, shortest prefix first.
    pub prefix: Vec<BlockHash>,
    /// Tokens of prompt, the shared beginning included.
    pub prefill: u32,
    /// Most tokens to generate.
    pub decode: u32,
    /// Tokens that it will generate.
    pub generated: u32,
    /// Time for the whole answer.
    pub deadline: Duration,
}

/// What a run sends.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Offered load as a share of each pool's capacity.
    pub load: f64,
    /// Seed of all draws.
    pub seed: u64,
    /// What goes wrong.
    pub scenario: Scenario,
    /// Time over which requests arrive.
    pub span: Duration,
}

/// Draws all requests, in the order of their times.
pub fn draw(workload: &Workload, plan: &Plan) -> Vec<Job> {
    let mut jobs = Vec::new();
    for (index, pool) in workload.pools.iter().enumerate() {
        let mut random = SmallRng::seed_from_u64(plan.seed ^ ((index as u64 + 1) << 32));
        let rate = pool.capacity(workload) * plan.load;
        jobs.extend(stream(workload, plan, index, rate, &mut random));
    }
    if let Some(flood) = plan.scenario.flood() {
        jobs.extend(self::flood(workload, plan, flood));
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}

fn stream(
    workload: &Workload,
    plan: &Plan,
    pool: usize,
    rate: f64,
    random: &mut SmallRng,
) -> Vec<Job> {
    let mut jobs = Vec::new();
    let mut at = 0.0;
    loop {
        let now = Duration::from_secs_f64(at);
        let factor = plan.scenario.rate_factor(now);
        let gap: f64 = random.random();
        at += -(1.0 - gap).ln() / (rate * factor);
        if at >= plan.span.as_secs_f64() {
            return jobs;
        }
        let account = pick(workload.accounts.iter().map(|account| account.share), random);
        jobs.push(job(workload, pool, account, Duration::from_secs_f64(at), random));
    }
}

/// What the flooding account sends on top of its share.
fn flood(workload: &Workload, plan: &Plan, flood: Span) -> Vec<Job> {
    const FACTOR: f64 = 9.0;
    let mut jobs = Vec::new();
    let name = &workload.flooding;
    let account = workload.accounts.iter().position(|account| account.name == *name).unwrap_or(0);
    for (index, pool) in workload.pools.iter().enumerate() {
        let mut random = SmallRng::seed_from_u64(plan.seed ^ ((index as u64 + 1) << 40));
        let share = workload.accounts[account].share;
        let rate = pool.capacity(workload) * plan.load * share * FACTOR;
        let mut all = stream(workload, plan, index, rate, &mut random);
        all.retain(|job| flood.contains(job.at));
        all.iter_mut().for_each(|job| job.account = account);
        jobs.extend(all);
    }
    jobs
}

fn job(
    workload: &Workload,
    pool: usize,
    account: usize,
    at: Duration,
    random: &mut SmallRng,
) -> Job {
    let class = class(&workload.pools[pool], random);
    let prefix = prefix(workload, class, random);
    let decode = length(class.decode, random);
    let generated = f64::from(decode) * random.random_range(GENERATED_MIN..=1.0);
    let rank = workload.rank(&class.tier);
    Job {
        at,
        pool,
        rank,
        account,
        entry: random.random_range(0..workload.zones.len()),
        prefill: prefix.len() as u32 * BLOCK_TOKENS + length(class.prefill, random),
        prefix,
        decode,
        generated: (generated as u32).max(1),
        deadline: workload.deadline(rank),
    }
}

fn class<'a>(pool: &'a Pool, random: &mut SmallRng) -> &'a Class {
    &pool.classes[pick(pool.classes.iter().map(|class| class.share), random)]
}

fn prefix(workload: &Workload, class: &Class, random: &mut SmallRng) -> Vec<BlockHash> {
    let Some(index) = class.corpus.as_ref().and_then(|name| workload.corpus(name)) else {
        return Vec::new();
    };
    let corpus = &workload.corpora[index];
    let weights = (1..=corpus.prefixes).map(|rank| (rank as f64).powf(-SKEW));
    let total: f64 = weights.clone().sum();
    let document = pick(weights.map(|weight| weight / total), random) as u64;
    let block = |number| hash([index as u64, document, u64::from(number)]);
    (0..corpus.blocks).map(block).collect()
}

/// Draws an index with the given probabilities.
fn pick(shares: impl Iterator<Item = f64>, random: &mut SmallRng) -> usize {
    let mut left: f64 = random.random();
    let mut last = 0;
    for (index, share) in shares.enumerate() {
        last = index;
        left -= share;
        if left < 0.0 {
            break;
        }
    }
    last
}

/// Draws a length, log-uniform over a range.
fn length(range: [u32; 2], random: &mut SmallRng) -> u32 {
    let [low, high] = range.map(f64::from);
    let exponent: f64 = random.random();
    (low * (high / low).powf(exponent)).round() as u32
}

/// Mixes words to a hash (the finaliser of SplitMix64 over each).
pub fn hash<const N: usize>(words: [u64; N]) -> u64 {
    let mut state = 0x9e37_79b9_7f4a_7c15_u64;
    for word in words {
        state = (state ^ word).wrapping_add(0x9e37_79b9_7f4a_7c15);
        state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        state ^= state >> 31;
    }
    state
}
