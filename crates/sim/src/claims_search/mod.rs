//! A randomised search for histories in which a key runs twice.
//!
//! [`history`] makes up calls, repeats and faults, [`world`] plays them with the
//! product's own claims on a virtual clock, and [`observer`] judges what back
//! ends did and what callers were told. Deliberately broken variants show that
//! the search finds what it is there to find.

pub mod fleet;
pub mod history;
mod network;
pub mod observer;
mod operator;
mod process;
pub mod search;
pub mod world;

use std::fmt;
use std::str::FromStr;

/// What is played: the product's claims, or a broken form of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// The product.
    Correct,
    /// Calls run without a claim.
    NoClaim,
    /// A replaced replica votes at once.
    VouchAfterRestart,
    /// A run starts whatever time has passed since its claim was granted.
    NoFence,
}

impl Variant {
    /// All variants, the product first.
    pub const ALL: [Variant; 4] = [
        Variant::Correct,
        Variant::NoClaim,
        Variant::VouchAfterRestart,
        Variant::NoFence,
    ];

    /// The name on command lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Variant::Correct => "correct",
            Variant::NoClaim => "no-claim",
            Variant::VouchAfterRestart => "vouch-after-restart",
            Variant::NoFence => "no-fence",
        }
    }
}

impl fmt::Display for Variant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for Variant {
    type Err = UnknownVariant;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Variant::ALL
            .into_iter()
            .find(|variant| variant.as_str() == text)
            .ok_or(UnknownVariant)
    }
}

/// The text names no variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a variant is `correct`, `no-claim`, `vouch-after-restart` or `no-fence`")]
pub struct UnknownVariant;
