//! Prefix cache of one engine: blocks in limited memory, the least recently used goes first.

use std::collections::BTreeMap;

use model::reservation::BlockHash;

/// Tokens in one block.
pub const BLOCK_TOKENS: u32 = 256;

/// The cache.
#[derive(Clone, Debug)]
pub struct Cache {
    /// Most blocks; never exceeded.
    capacity: usize,
    /// Each block with its last use.
    blocks: BTreeMap<BlockHash, u64>,
    /// The same by last use.
    uses: BTreeMap<u64, BlockHash>,
    clock: u64,
}

/// Gives an empty cache.
pub fn open(capacity: usize) -> Cache {
    Cache { capacity, blocks: BTreeMap::new(), uses: BTreeMap::new(), clock: 0 }
}

impl Cache {
    /// Whether a block is held.
    pub fn contains(&self, block: BlockHash) -> bool {
        self.blocks.contains_key(&block)
    }

    /// How many leading blocks are held; marks them as used.
    pub fn hit(&mut self, blocks: &[BlockHash]) -> usize {
        let hits = blocks.iter().take_while(|block| self.contains(**block)).count();
        for block in &blocks[..hits] {
            self.insert(*block);
        }
        hits
    }

    /// Holds a block, or marks it as used.
    pub fn insert(&mut self, block: BlockHash) {
        if self.capacity == 0 {
            return;
        }
        self.clock += 1;
        if let Some(used) = self.blocks.insert(block, self.clock) {
            self.uses.remove(&used);
        }
        self.uses.insert(self.clock, block);
        if self.blocks.len() > self.capacity {
            let oldest = self.uses.pop_first();
            oldest.and_then(|(_, block)| self.blocks.remove(&block));
        }
    }

    /// Blocks held.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
