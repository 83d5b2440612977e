//! The seeded random number generator.

use rand::SeedableRng;

/// The generator that is passed to code that makes random decisions; a seed yields the same sequence on every machine.
pub type Rng = rand_chacha::ChaCha8Rng;

/// Creates a generator from a seed.
pub fn seeded(seed: u64) -> Rng {
    Rng::seed_from_u64(seed)
}
