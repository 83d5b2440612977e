//! A prefix cache of blocks of prompt tokens, with LRU eviction.

use std::collections::{HashMap, VecDeque};

use twox_hash::XxHash64;

/// Tokens in one cached block; a shorter remainder at the end of a prompt is not cached.
pub(crate) const BLOCK_TOKENS: usize = 16;

#[derive(Debug)]
pub(crate) struct PrefixCache {
    max_blocks: usize,
    /// Maps the hash of the prompt up to the end of a block to the clock value of the block's last use.
    blocks: HashMap<u64, u64>,
    /// Hash and clock value of each use, in order; entries for an older use than the last are skipped.
    uses: VecDeque<(u64, u64)>,
    clock: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity_tokens: usize) -> Self {
        Self {
            max_blocks: capacity_tokens / BLOCK_TOKENS,
            blocks: HashMap::new(),
            uses: VecDeque::new(),
            clock: 0,
        }
    }

    /// Returns the number of cached tokens at the start of the prompt and caches the prompt.
    pub(crate) fn lookup_and_insert(&mut self, tokens: &[&str]) -> usize {
        let mut hash = 0;
        let mut hit = 0;
        let mut contiguous = true;
        for block in tokens.chunks_exact(BLOCK_TOKENS) {
            // The seed is the hash of all earlier blocks, so that equal blocks after different prefixes have different
            // hashes.
            hash = XxHash64::oneshot(hash, block.join(" ").as_bytes());
            contiguous &= self.blocks.contains_key(&hash);
            if contiguous {
                hit += BLOCK_TOKENS;
            }
            self.clock += 1;
            self.blocks.insert(hash, self.clock);
            self.uses.push_back((hash, self.clock));
        }
        self.evict();
        hit
    }

    pub(crate) fn tokens(&self) -> usize {
        self.blocks.len() * BLOCK_TOKENS
    }

    fn evict(&mut self) {
        while self.blocks.len() > self.max_blocks {
            let Some((hash, used)) = self.uses.pop_front() else { return };
            if self.blocks.get(&hash) == Some(&used) {
                self.blocks.remove(&hash);
            }
        }
        // Removes outdated entries, which would otherwise accumulate while the cache is not full.
        while self.uses.front().is_some_and(|(hash, used)| self.blocks.get(hash) != Some(used)) {
            self.uses.pop_front();
        }
    }
}
