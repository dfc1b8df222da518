//! Bodies of calls and answers: generated block by block, and known to both ends, so that a
//! client can check that an answer is complete and its own.

use bytes::Bytes;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::call::{CallName, CallSpecification};

/// Length of a generated block.
pub const BLOCK_BYTES: usize = 16 * 1024;

/// A body of a stated length whose every byte follows from a seed.
#[derive(Clone, Debug)]
pub struct Content {
    seed: u64,
    position: u64,
    length: u64,
}

impl Content {
    /// The body of a client's call.
    pub fn of_call(name: &CallName, length: u64) -> Self {
        let seed = xxh3_64(name.request.as_bytes());
        Content::new(seed, length)
    }

    /// A back end's answer to `call` whose body had the digest `body_digest`. All repeats
    /// of a keyed call have one answer, since it may be replayed to them; other calls of
    /// one request have answers of their own for each caller.
    pub fn of_answer(call: &CallSpecification, body_digest: u64) -> Self {
        let request = &call.name.request;
        let identity = match &call.key {
            Some(key) => format!("{request}/key/{key}/{body_digest:016x}"),
            None => format!("{request}/caller/{}/{body_digest:016x}", call.name.caller),
        };
        let length = call.answer_bytes;
        Content::new(xxh3_64(identity.as_bytes()), length)
    }

    fn new(seed: u64, length: u64) -> Self {
        Content {
            seed,
            position: 0,
            length,
        }
    }

    /// Whole length in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Digest of the whole body.
    pub fn digest(&self) -> u64 {
        let mut digest = BodyDigest::default();
        let whole = Content::new(self.seed, self.length);
        whole.for_each(|block| digest.update(&block));
        digest.finish()
    }
}

impl Iterator for Content {
    type Item = Bytes;

    fn next(&mut self) -> Option<Bytes> {
        let left = self.length - self.position;
        if left == 0 {
            return None;
        }
        let length = left.min(BLOCK_BYTES as u64) as usize;
        let word = xxh3_64(&(self.seed ^ self.position).to_le_bytes()).to_le_bytes();
        self.position += length as u64;
        let block: Vec<u8> = word.into_iter().cycle().take(length).collect();
        Some(Bytes::from(block))
    }
}

/// Digest of a body that is read piece by piece.
#[derive(Default)]
pub struct BodyDigest {
    hasher: Xxh3,
    length: u64,
}

impl BodyDigest {
    /// Takes in the next piece.
    pub fn update(&mut self, piece: &[u8]) {
        self.hasher.update(piece);
        self.length += piece.len() as u64;
    }

    /// Bytes taken in so far.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Digest of all pieces.
    pub fn finish(&self) -> u64 {
        self.hasher.digest()
    }
}
