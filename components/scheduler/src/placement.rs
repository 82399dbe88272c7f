//! Order in which the targets of a pool are tried for a request: weighted rendezvous hashing in two
//! levels.
//!
//! A pool is split into cells of a few dozen targets. For a key, the cells are ordered by their
//! scores, weighted by the sum of their targets' speeds, and then the targets of a cell by theirs,
//! weighted by their own speeds. The work for a request is thus bounded by the number of cells plus
//! the size of one cell, and the first few targets of a key usually lie in one cell.

use model::{id::TargetName, reservation::BlockHash, resource::Target};

/// Maximum of the average number of targets in a cell.
const TARGETS_PER_CELL: usize = 48;

/// A target with its score for one key.
#[derive(Clone, Debug, PartialEq)]
pub struct Scored {
    /// Name of the target.
    pub target: TargetName,
    /// Score of the target for the key; the target with the highest score is tried first.
    pub score: f64,
}

/// Returns all targets in descending order of their scores for a key, without a split into cells.
/// The same key always has the same targets first.
pub fn order<'a>(key: BlockHash, targets: impl Iterator<Item = &'a Target>) -> Vec<Scored> {
    let scored = targets.map(|target| Scored {
        target: target.name.clone(),
        score: score(key, seed(&target.name), weight(target)),
    });
    let mut scored: Vec<Scored> = scored.collect();
    scored.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.target.cmp(&b.target)));
    scored
}

/// Targets of a pool, split into cells, from which the order for any key is computed.
#[derive(Clone, Debug, Default)]
pub struct Index {
    /// Cells in the order of their numbers; each contains at least one target.
    cells: Vec<Cell>,
}

/// Part of a pool's targets, chosen by the hashes of their names.
#[derive(Clone, Debug, Default)]
struct Cell {
    /// Hash of the cell's number.
    seed: u64,
    /// Sum of the weights of the cell's targets.
    weight: f64,
    /// Targets of the cell, in the order in which they were given.
    candidates: Vec<Candidate>,
}

/// Target with what its score for a key is computed from.
#[derive(Clone, Debug)]
struct Candidate {
    target: TargetName,
    /// Hash of the target's name.
    seed: u64,
    /// The target's speed in percent.
    weight: f64,
}

/// Returns the index of a pool's targets.
pub fn open<'a>(targets: impl Iterator<Item = &'a Target>) -> Index {
    let candidates = targets.map(|target| Candidate {
        target: target.name.clone(),
        seed: seed(&target.name),
        weight: weight(target),
    });
    let candidates: Vec<Candidate> = candidates.collect();
    // The number of cells is a power of two, so that it changes rarely: after one change the pool
    // has to double or halve before the next.
    let count = candidates.len().div_ceil(TARGETS_PER_CELL).next_power_of_two();
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
    /// Returns the targets in their order for a key. The targets of a cell are scored and sorted
    /// only when the iterator reaches that cell.
    pub fn order(&self, key: BlockHash) -> impl Iterator<Item = &TargetName> {
        let mut cells: Vec<(f64, &Cell)> =
            self.cells.iter().map(|cell| (score(key, cell.seed, cell.weight), cell)).collect();
        cells.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.seed.cmp(&b.1.seed)));
        cells.into_iter().flat_map(move |(_, cell)| cell.order(key))
    }
}

impl Cell {
    /// Returns the cell's targets in descending order of their scores for a key.
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

/// Returns a score for weighted rendezvous hashing: `-weight / ln(u)` with `u` uniform in (0, 1).
/// Each candidate then has the highest score for a share of the keys in proportion to its weight.
fn score(key: BlockHash, seed: u64, weight: f64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let high_bits = mix(key ^ seed) >> (u64::BITS - MANTISSA_BITS);
    let uniform = (high_bits as f64 + 0.5) / (1_u64 << MANTISSA_BITS) as f64;
    -weight / uniform.ln()
}

fn weight(target: &Target) -> f64 {
    f64::from(target.speed_percent)
}

/// Returns a hash of a target's name.
fn seed(name: &str) -> u64 {
    let mut bytes = [0; size_of::<u64>()];
    blake3::Hasher::new().update(name.as_bytes()).finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}

/// One step of SplitMix64 (Steele, Lea and Flood, 2014): maps similar inputs to unrelated outputs.
fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
