//! Which prompts' beginnings the target probably still caches, from what was dispatched to it.
//!
//! The agent is the only way to its target, so its own dispatches tell more than cache events,
//! which come late and with gaps. It can't see evictions: it is a hint.

use std::collections::BTreeMap;

use model::reservation::BlockHash;

/// Tokens in one block of a prompt.
pub const BLOCK_TOKENS: u32 = 256;

/// The blocks, the least recently used first to go.
#[derive(Clone, Debug)]
pub struct Prefixes {
    /// Most blocks; never exceeded.
    capacity: usize,
    /// Each block with its last use.
    blocks: BTreeMap<BlockHash, u64>,
    /// The same by last use.
    uses: BTreeMap<u64, BlockHash>,
    clock: u64,
}

/// Gives an empty memory for a target that holds so many tokens.
pub fn open(tokens: u64) -> Prefixes {
    const LIMIT: u64 = 4_096;
    let blocks = (tokens / u64::from(BLOCK_TOKENS)).min(LIMIT);
    Prefixes { capacity: blocks as usize, blocks: BTreeMap::new(), uses: BTreeMap::new(), clock: 0 }
}

impl Prefixes {
    /// Tokens of a prompt that need no prefill, as far as is known.
    ///
    /// Only a prompt's first blocks are hashed: where all of them are cached, the rest of a long
    /// prompt is taken to be cached too, but for its last block.
    pub fn cached(&self, prefix: &[BlockHash], prefill: u32) -> u32 {
        let hits = prefix.iter().take_while(|block| self.blocks.contains_key(*block)).count();
        if hits > 0 && hits == prefix.len() {
            return prefill.saturating_sub(BLOCK_TOKENS);
        }
        (hits as u32 * BLOCK_TOKENS).min(prefill)
    }

    /// A prompt was dispatched.
    pub fn insert(&mut self, prefix: &[BlockHash]) {
        for block in prefix {
            self.touch(*block);
        }
        while self.blocks.len() > self.capacity {
            let Some((_, oldest)) = self.uses.pop_first() else {
                return;
            };
            self.blocks.remove(&oldest);
        }
    }

    fn touch(&mut self, block: BlockHash) {
        self.clock += 1;
        if let Some(used) = self.blocks.insert(block, self.clock) {
            self.uses.remove(&used);
        }
        self.uses.insert(self.clock, block);
    }
}
