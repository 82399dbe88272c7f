//! Estimate of which prompt prefixes the target still has in its cache, based on the granted requests.
//!
//! All requests to the target pass through the agent, so the agent's own grants are a better source than
//! the target's cache events, which arrive late and with gaps. The target's evictions aren't visible to
//! the agent, so the result is a hint only.

use std::collections::BTreeMap;

use model::reservation::BlockHash;

/// Number of tokens in one prompt block.
pub const BLOCK_TOKENS: u32 = 256;

/// Prompt blocks that the target probably caches; the least recently used block is evicted first.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    /// Maximum number of blocks.
    max_blocks: usize,
    /// The prompt blocks that the target probably caches, each with the value of `use_counter` at its
    /// last use.
    blocks: BTreeMap<BlockHash, u64>,
    /// The blocks by the value of `use_counter` at their last use.
    blocks_by_use: BTreeMap<u64, BlockHash>,
    /// Number of block uses so far.
    use_counter: u64,
}

/// Returns an empty cache estimate for a target that can hold `tokens` tokens.
pub fn new(tokens: u64) -> PrefixCache {
    /// Maximum number of blocks for a target of any size.
    const MAX_BLOCKS: u64 = 4_096;
    let max_blocks = (tokens / u64::from(BLOCK_TOKENS)).min(MAX_BLOCKS);
    PrefixCache {
        max_blocks: max_blocks as usize,
        blocks: BTreeMap::new(),
        blocks_by_use: BTreeMap::new(),
        use_counter: 0,
    }
}

impl PrefixCache {
    /// Returns how many of a prompt's `prefill` tokens are probably cached and need no prefill.
    ///
    /// Only a prompt's first blocks are hashed. If all of the hashed blocks are cached, the rest of a
    /// long prompt is assumed to be cached too, except for the last block.
    pub fn cached_tokens(&self, prefix: &[BlockHash], prefill: u32) -> u32 {
        let cached_blocks =
            prefix.iter().take_while(|block| self.blocks.contains_key(*block)).count();
        if cached_blocks > 0 && cached_blocks == prefix.len() {
            return prefill.saturating_sub(BLOCK_TOKENS);
        }
        (cached_blocks as u32 * BLOCK_TOKENS).min(prefill)
    }

    /// Records that a prompt with these leading blocks was granted.
    pub fn insert(&mut self, prefix: &[BlockHash]) {
        for block in prefix {
            self.mark_used(*block);
        }
        while self.blocks.len() > self.max_blocks {
            let Some((_, oldest)) = self.blocks_by_use.pop_first() else {
                return;
            };
            self.blocks.remove(&oldest);
        }
    }

    fn mark_used(&mut self, block: BlockHash) {
        self.use_counter += 1;
        if let Some(last_use) = self.blocks.insert(block, self.use_counter) {
            self.blocks_by_use.remove(&last_use);
        }
        self.blocks_by_use.insert(self.use_counter, block);
    }
}
