//! Order of targets for a request: weighted rendezvous hashing.

use model::{id::TargetName, reservation::BlockHash, resource::Target};

/// A target with its score for one key.
#[derive(Clone, Debug, PartialEq)]
pub struct Scored {
    /// The target.
    pub target: TargetName,
    /// Higher is better.
    pub score: f64,
}

/// Orders targets by their score for a key; the same key finds the same targets first.
pub fn order<'a>(key: BlockHash, targets: impl Iterator<Item = &'a Target>) -> Vec<Scored> {
    let mut scored: Vec<Scored> = targets.map(|target| score(key, target)).collect();
    scored.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.target.cmp(&b.target)));
    scored
}

/// A target's score: `-weight / ln(u)` with `u` uniform in (0, 1), so that each target gets a
/// share of the keys in proportion to its speed.
fn score(key: BlockHash, target: &Target) -> Scored {
    let uniform = uniform(key, &target.name);
    let score = -f64::from(target.speed_percent) / uniform.ln();
    Scored { target: target.name.clone(), score }
}

fn uniform(key: BlockHash, name: &str) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let mut hasher = blake3::Hasher::new();
    hasher.update(&key.to_le_bytes());
    hasher.update(name.as_bytes());
    let mut word = [0; size_of::<u64>()];
    hasher.finalize_xof().fill(&mut word);
    let high = u64::from_le_bytes(word) >> (u64::BITS - MANTISSA_BITS);
    (high as f64 + 0.5) / (1_u64 << MANTISSA_BITS) as f64
}
