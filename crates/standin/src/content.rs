//! Request and response bodies, generated block by block from seeds that both ends know, so that a
//! client can verify that a response is complete and belongs to its call.

use bytes::Bytes;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::call::{CallName, CallSpecification};

/// Length of a generated block in bytes; the last block of a body can be shorter.
pub const BLOCK_BYTES: usize = 16 * 1024;

/// A body of a given length whose bytes are determined by a seed, as an iterator over its blocks.
#[derive(Clone, Debug)]
pub struct Content {
    seed: u64,
    position: u64,
    length: u64,
}

impl Content {
    /// Creates the request body of a client's call, `length` bytes long.
    pub fn of_call(name: &CallName, length: u64) -> Self {
        let seed = xxh3_64(name.request.as_bytes());
        Content::new(seed, length)
    }

    /// Creates the response body to `call` whose request body had the digest `body_digest`. All
    /// repeats of a call with an idempotency key have the same response, because a stored response
    /// may be replayed to them. Other calls of one request have a different response for each
    /// caller.
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

    /// Returns the length of the whole body in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the digest of the whole body.
    pub fn digest(&self) -> u64 {
        let mut digest = BodyDigest::default();
        let whole_body = Content::new(self.seed, self.length);
        whole_body.for_each(|block| digest.update(&block));
        digest.finish()
    }
}

impl Iterator for Content {
    type Item = Bytes;

    fn next(&mut self) -> Option<Bytes> {
        let remaining = self.length - self.position;
        if remaining == 0 {
            return None;
        }
        let length = remaining.min(BLOCK_BYTES as u64) as usize;
        let word = xxh3_64(&(self.seed ^ self.position).to_le_bytes()).to_le_bytes();
        self.position += length as u64;
        let block: Vec<u8> = word.into_iter().cycle().take(length).collect();
        Some(Bytes::from(block))
    }
}

/// Incremental digest of a body that is read in pieces.
#[derive(Default)]
pub struct BodyDigest {
    hasher: Xxh3,
    length: u64,
}

impl BodyDigest {
    /// Adds the next piece of the body to the digest.
    pub fn update(&mut self, piece: &[u8]) {
        self.hasher.update(piece);
        self.length += piece.len() as u64;
    }

    /// Returns the number of bytes added so far.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the digest of all pieces added so far.
    pub fn finish(&self) -> u64 {
        self.hasher.digest()
    }
}
