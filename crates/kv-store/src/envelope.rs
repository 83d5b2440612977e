//! The envelope of a stored value: a format byte, the unique token of the write, and the caller's bytes.

use crate::error::{Error, Result};

const FORMAT: u8 = 1;
const TOKEN_BYTES: usize = 16;

/// Bytes that the envelope adds to a value.
pub const OVERHEAD: usize = 1 + TOKEN_BYTES;

/// The maximum size of a value, in bytes; with its envelope it fits the service's limit of 1 MiB.
pub const MAX_VALUE: usize = (1 << 20) - OVERHEAD;

/// Identifies one write, so that its writer recognises it after a lost answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token([u8; TOKEN_BYTES]);

impl Token {
    /// Returns a new token; with 128 random bits, collisions are practically impossible.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

/// Wraps a value in an envelope.
///
/// # Errors
///
/// Fails if the value exceeds [`MAX_VALUE`].
pub fn seal(token: Token, value: &[u8]) -> Result<Vec<u8>> {
    if value.len() > MAX_VALUE {
        return Err(Error::TooLarge { size: value.len(), limit: MAX_VALUE });
    }
    let mut sealed = Vec::with_capacity(OVERHEAD + value.len());
    sealed.push(FORMAT);
    sealed.extend_from_slice(&token.0);
    sealed.extend_from_slice(value);
    Ok(sealed)
}

/// Unwraps a value from its envelope.
///
/// # Errors
///
/// Fails if the bytes are not an envelope of a known format.
pub fn open(mut sealed: Vec<u8>) -> Result<(Token, Vec<u8>)> {
    match sealed.first_chunk::<OVERHEAD>() {
        Some([FORMAT, token @ ..]) => {
            let token = Token(*token);
            sealed.drain(..OVERHEAD);
            Ok((token, sealed))
        }
        _ => Err(Error::Protocol("a stored value has no known envelope".to_owned())),
    }
}
