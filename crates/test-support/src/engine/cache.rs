//! Prefix cache: blocks of prompt tokens, the least recently used ones are dropped first.

use std::collections::{HashMap, VecDeque};

use twox_hash::XxHash64;

/// Tokens in one cached block; a shorter rest of a prompt is not cached.
pub(crate) const BLOCK_TOKENS: usize = 16;

#[derive(Debug)]
pub(crate) struct PrefixCache {
    max_blocks: usize,
    /// Hash of the prompt up to the end of the block, and the number of its last use.
    blocks: HashMap<u64, u64>,
    /// Uses in order; entries whose number is outdated are skipped.
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
            // The seed is the hash of all earlier blocks, so equal blocks after different prefixes differ.
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
        // Drops outdated entries, which would otherwise pile up while the cache is not full.
        while self.uses.front().is_some_and(|(hash, used)| self.blocks.get(hash) != Some(used)) {
            self.uses.pop_front();
        }
    }
}
