//! A set of small numbers.

/// A set of positions in a list, as a bit for each.
#[derive(Debug, Clone, Default)]
pub(super) struct IndexSet {
    words: Vec<u64>,
    len: usize,
}

impl IndexSet {
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn contains(&self, at: usize) -> bool {
        let (word, bit) = position(at);
        self.words.get(word).is_some_and(|it| it & bit != 0)
    }

    pub fn insert(&mut self, at: usize) {
        let (word, bit) = position(at);
        if word >= self.words.len() {
            self.words.resize(word + 1, 0);
        }
        self.len += usize::from(self.words[word] & bit == 0);
        self.words[word] |= bit;
    }

    pub fn remove(&mut self, at: usize) {
        let (word, bit) = position(at);
        let Some(word) = self.words.get_mut(word) else { return };
        self.len -= usize::from(*word & bit != 0);
        *word &= !bit;
    }

    pub fn clear(&mut self) {
        if self.len > 0 {
            self.words.fill(0);
            self.len = 0;
        }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the members that are in `other` and not in `without`.
    pub fn common(&self, other: &Self, without: &Self) -> Self {
        let word = |words: &[u64], at: usize| words.get(at).copied().unwrap_or(0);
        let words = self.words.iter().enumerate();
        let words: Vec<u64> =
            words.map(|(at, it)| it & word(&other.words, at) & !word(&without.words, at)).collect();
        let len = words.iter().map(|it| it.count_ones() as usize).sum();
        Self { words, len }
    }

    /// Returns the member that has `rank` smaller ones.
    pub fn at_rank(&self, mut rank: usize) -> Option<usize> {
        for (at, word) in self.words.iter().enumerate() {
            let count = word.count_ones() as usize;
            if rank < count {
                return members([*word].into_iter())
                    .nth(rank)
                    .map(|it| at * u64::BITS as usize + it);
            }
            rank -= count;
        }
        None
    }

    /// Returns the members in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> {
        let words = if self.len == 0 { &[][..] } else { &self.words[..] };
        members(words.iter().copied())
    }

    /// Returns the members that are also in `other`, in ascending order.
    pub fn iter_common(&self, other: &Self) -> impl Iterator<Item = usize> {
        members(self.words.iter().zip(&other.words).map(|(a, b)| a & b))
    }
}

fn members(words: impl Iterator<Item = u64>) -> impl Iterator<Item = usize> {
    words.enumerate().flat_map(|(at, word)| {
        let mut left = word;
        std::iter::from_fn(move || {
            let bit = (left != 0).then(|| left.trailing_zeros() as usize)?;
            left &= left - 1;
            Some(at * u64::BITS as usize + bit)
        })
    })
}

fn position(at: usize) -> (usize, u64) {
    (at / u64::BITS as usize, 1 << (at % u64::BITS as usize))
}
