//! Messages between the control threads of nodes, each sent as one UDP datagram.
//!
//! A datagram is the CBOR array `[version, message]`. A node drops datagrams of
//! another version, so a change of the format needs a new version number.

pub(crate) mod codec;
mod fleet;
mod member;
mod table;

use std::convert::Infallible;

use minicbor::encode::Write;
use minicbor::{Decode, Decoder, Encode, Encoder};

use crate::claim::ClaimMessage;

pub use fleet::{BucketDigests, FleetBody, FleetHeader, FleetMessage, ProbeSequence};
pub use member::{MemberRecord, MemberStatus};
pub use table::{RowKey, TablePage, TableRequest};

/// Maximum size of a datagram, bytes: below the smallest path MTU that is usual for
/// UDP over IPv4, so that no datagram is fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Size of the IPv4 and UDP headers that every datagram has in addition, bytes.
pub const DATAGRAM_HEADER_BYTES: usize = 28;

/// Version of the datagram format.
pub const CONTROL_VERSION: u8 = 1;

const ENVELOPE_FIELDS: u64 = 2;

/// All messages that control threads exchange.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ControlMessage {
    /// Message about membership or the table.
    #[n(0)]
    Fleet(#[n(0)] FleetMessage),
    /// Message about claims on idempotency keys.
    #[n(1)]
    Claim(#[n(0)] ClaimMessage),
}

impl ControlMessage {
    /// Encodes the message as a datagram.
    pub fn encode(&self) -> Result<Vec<u8>, ControlError> {
        let mut bytes = Vec::with_capacity(TYPICAL_DATAGRAM_BYTES);
        self.encode_to(&mut bytes)
            .map_err(|error| ControlError::Malformed(error.to_string()))?;
        match bytes.len() {
            length if length > MAX_DATAGRAM_BYTES => Err(ControlError::TooLarge { length }),
            _ => Ok(bytes),
        }
    }

    fn encode_to(&self, bytes: &mut Vec<u8>) -> Result<(), minicbor::encode::Error<Infallible>> {
        let mut encoder = Encoder::new(bytes);
        encoder.array(ENVELOPE_FIELDS)?.u8(CONTROL_VERSION)?;
        encoder.encode(self)?;
        Ok(())
    }

    /// Decodes the message in a datagram.
    pub fn decode(datagram: &[u8]) -> Result<Self, ControlError> {
        let length = datagram.len();
        if length > MAX_DATAGRAM_BYTES {
            return Err(ControlError::TooLarge { length });
        }
        let mut decoder = Decoder::new(datagram);
        read_version(&mut decoder)?;
        let message = decoder.decode().map_err(malformed)?;
        match length - decoder.position() {
            0 => Ok(message),
            excess => Err(ControlError::Trailing { excess }),
        }
    }
}

const TYPICAL_DATAGRAM_BYTES: usize = 96;

fn read_version(decoder: &mut Decoder<'_>) -> Result<(), ControlError> {
    let fields = decoder.array().map_err(malformed)?;
    let version = decoder.u8().map_err(malformed)?;
    if version != CONTROL_VERSION {
        return Err(ControlError::Version { version });
    }
    if fields != Some(ENVELOPE_FIELDS) {
        return Err(ControlError::Malformed("envelope".to_owned()));
    }
    Ok(())
}

fn malformed(error: minicbor::decode::Error) -> ControlError {
    ControlError::Malformed(error.to_string())
}

/// Why a datagram cannot be sent or was dropped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// The datagram is larger than [`MAX_DATAGRAM_BYTES`].
    #[error("control datagram of {length} bytes exceeds {MAX_DATAGRAM_BYTES}")]
    TooLarge {
        /// Length of the datagram, bytes.
        length: usize,
    },
    /// The datagram has another version of the format.
    #[error("control datagram of version {version}, expected {CONTROL_VERSION}")]
    Version {
        /// Version stated in the datagram.
        version: u8,
    },
    /// Bytes follow the message.
    #[error("{excess} bytes after the end of the control message")]
    Trailing {
        /// Number of bytes after the end of the message.
        excess: usize,
    },
    /// The datagram is not a valid message of this format.
    #[error("malformed control datagram: {0}")]
    Malformed(String),
}

/// Returns the size of a value's encoding in bytes, to fill datagrams up to their maximum.
pub fn encoded_length<T: Encode<()>>(value: &T) -> usize {
    struct Counter(usize);
    impl Write for Counter {
        type Error = Infallible;
        fn write_all(&mut self, bytes: &[u8]) -> Result<(), Infallible> {
            self.0 += bytes.len();
            Ok(())
        }
    }
    let mut counter = Counter(0);
    // Writing to the counter cannot fail, and no type of this module fails to encode.
    let _ = minicbor::encode(value, &mut counter);
    counter.0
}
