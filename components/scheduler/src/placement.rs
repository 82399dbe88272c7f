//! Order of targets for a request: weighted rendezvous hashing in two levels.
//!
//! A pool is split into cells of a few dozen targets. A key ranks the cells by their summed speed,
//! then the targets of one cell by theirs, so that the work for a request is bounded by the
//! number of cells and the size of one cell, and a key's few first targets lie in one cell.

use model::{id::TargetName, reservation::BlockHash, resource::Target};

/// Targets in a cell, on average at most.
const CELL: usize = 48;

/// A target with its score for one key.
#[derive(Clone, Debug, PartialEq)]
pub struct Scored {
    /// The target.
    pub target: TargetName,
    /// Higher is better.
    pub score: f64,
}

/// Orders all targets by their score for a key; the same key finds the same targets first.
pub fn order<'a>(key: BlockHash, targets: impl Iterator<Item = &'a Target>) -> Vec<Scored> {
    let scored = targets.map(|target| Scored {
        target: target.name.clone(),
        score: score(key, seed(&target.name), weight(target)),
    });
    let mut scored: Vec<Scored> = scored.collect();
    scored.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.target.cmp(&b.target)));
    scored
}

/// A pool's targets, ready to be ordered for one key after another.
#[derive(Clone, Debug, Default)]
pub struct Index {
    /// None is empty.
    cells: Vec<Cell>,
}

#[derive(Clone, Debug, Default)]
struct Cell {
    seed: u64,
    /// Sum of its targets' weights.
    weight: f64,
    /// In the order of their names.
    candidates: Vec<Candidate>,
}

#[derive(Clone, Debug)]
struct Candidate {
    target: TargetName,
    seed: u64,
    weight: f64,
}

/// Prepares a pool's targets.
pub fn open<'a>(targets: impl Iterator<Item = &'a Target>) -> Index {
    let candidates = targets.map(|target| Candidate {
        target: target.name.clone(),
        seed: seed(&target.name),
        weight: weight(target),
    });
    let candidates: Vec<Candidate> = candidates.collect();
    // A power of two, so that the cells change only where a pool has doubled or halved.
    let count = candidates.len().div_ceil(CELL).next_power_of_two();
    let mut cells = vec![Cell::default(); count];
    for candidate in candidates {
        let cell = &mut cells[candidate.seed as usize % count];
        cell.weight += candidate.weight;
        cell.candidates.push(candidate);
    }
    for (index, cell) in cells.iter_mut().enumerate() {
        cell.seed = mix(index as u64);
    }
    cells.retain(|cell| !cell.candidates.is_empty());
    Index { cells }
}

impl Index {
    /// Targets in their order for a key, a cell at a time; later cells cost nothing until they
    /// are reached.
    pub fn order(&self, key: BlockHash) -> impl Iterator<Item = &TargetName> {
        let mut cells: Vec<(f64, &Cell)> =
            self.cells.iter().map(|cell| (score(key, cell.seed, cell.weight), cell)).collect();
        cells.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.seed.cmp(&b.1.seed)));
        cells.into_iter().flat_map(move |(_, cell)| cell.order(key))
    }
}

impl Cell {
    fn order(&self, key: BlockHash) -> impl Iterator<Item = &TargetName> + use<'_> {
        let scored = self.candidates.iter().map(|candidate| {
            let score = score(key, candidate.seed, candidate.weight);
            (score, &candidate.target)
        });
        let mut scored: Vec<(f64, &TargetName)> = scored.collect();
        scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        scored.into_iter().map(|(_, target)| target)
    }
}

/// A score for weighted rendezvous hashing: `-weight / ln(u)` with `u` uniform in (0, 1), so that
/// each gets a share of the keys in proportion to its weight.
fn score(key: BlockHash, seed: u64, weight: f64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let high = mix(key ^ seed) >> (u64::BITS - MANTISSA_BITS);
    let uniform = (high as f64 + 0.5) / (1_u64 << MANTISSA_BITS) as f64;
    -weight / uniform.ln()
}

fn weight(target: &Target) -> f64 {
    f64::from(target.speed_percent)
}

fn seed(name: &str) -> u64 {
    let mut word = [0; size_of::<u64>()];
    blake3::Hasher::new().update(name.as_bytes()).finalize_xof().fill(&mut word);
    u64::from_le_bytes(word)
}

/// The finaliser of SplitMix64 (Steele, Lea and Flood, 2014).
fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
