//! A server instance: one run of a server process, as the server announces it.

use std::fmt;
use std::net::SocketAddrV4;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use minicbor::decode::{Decoder, Error as DecodeError};
use minicbor::encode::{Encoder, Error as EncodeError, Write};
use minicbor::{Decode, Encode};

/// Identifies one start of a server process: the server's announced identity and its start time.
/// A server that takes over an address has another identity. A restarted server may keep its
/// identity but has lost its state, so records about a server are keyed by identity and start
/// time together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId {
    name: Arc<str>,
    started_ms: Option<u64>,
}

impl InstanceId {
    /// Creates the id of a server that announces `name` without a start time.
    pub fn new(name: &str) -> Self {
        InstanceId {
            name: name.into(),
            started_ms: None,
        }
    }

    /// Returns this id with the start time set to a Unix time in milliseconds.
    pub fn started_at(self, milliseconds: u64) -> Self {
        InstanceId {
            started_ms: Some(milliseconds),
            ..self
        }
    }

    /// Returns the server's announced identity, which is the same for all of its starts.
    pub fn as_str(&self) -> &str {
        &self.name
    }

    /// Returns whether both ids belong to the same server, whatever their start times.
    pub fn is_same_server(&self, other: &InstanceId) -> bool {
        self.name == other.name
    }
}

/// Formats as `NAME@STARTED_MS`, or as `NAME` if the start time is not known.
impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.name)?;
        match self.started_ms {
            Some(started) => write!(formatter, "@{started}"),
            None => Ok(()),
        }
    }
}

impl<C> Encode<C> for InstanceId {
    fn encode<W: Write>(
        &self,
        encoder: &mut Encoder<W>,
        context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        encoder.array(2)?.str(&self.name)?;
        self.started_ms.encode(encoder, context)
    }
}

impl<'b, C> Decode<'b, C> for InstanceId {
    fn decode(decoder: &mut Decoder<'b>, context: &mut C) -> Result<Self, DecodeError> {
        decoder.array()?;
        Ok(InstanceId {
            name: decoder.str()?.into(),
            started_ms: Option::decode(decoder, context)?,
        })
    }
}

/// Whether a server accepts new requests, as it announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum ServerState {
    /// The server accepts new requests.
    #[n(0)]
    Ready,
    /// The server finishes the requests that it has and shuts down soon.
    #[n(1)]
    Draining,
}

/// One run of a server process, as the server announces itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInstance {
    /// The server's identity and start time.
    pub id: InstanceId,
    /// Name of the service that the server belongs to.
    pub service: String,
    /// The address on which the server listens. Only the node on the same machine can reach it.
    pub address: SocketAddrV4,
    /// Name of the zone in which the server runs.
    pub zone: String,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub state: ServerState,
    /// Remaining warm-up time, as of the announcement, during which the server is slower than
    /// usual.
    pub warm_up: Duration,
}

impl ServerInstance {
    /// Returns whether the server accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.state == ServerState::Ready
    }
}

impl<C> Encode<C> for ServerInstance {
    fn encode<W: Write>(
        &self,
        encoder: &mut Encoder<W>,
        context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        encoder.array(7)?;
        self.id.encode(encoder, context)?;
        encoder.str(&self.service)?;
        encoder.str(&self.address.to_string())?;
        encoder.str(&self.zone)?;
        encoder.u32(self.slots)?;
        self.state.encode(encoder, context)?;
        encoder.u64(self.warm_up.as_micros() as u64)?.ok()
    }
}

impl<'b, C> Decode<'b, C> for ServerInstance {
    fn decode(decoder: &mut Decoder<'b>, context: &mut C) -> Result<Self, DecodeError> {
        decoder.array()?;
        Ok(ServerInstance {
            id: InstanceId::decode(decoder, context)?,
            service: decoder.str()?.to_owned(),
            address: SocketAddrV4::from_str(decoder.str()?)
                .map_err(|_| DecodeError::message("server address is not IPv4 with a port"))?,
            zone: decoder.str()?.to_owned(),
            slots: decoder.u32()?,
            state: ServerState::decode(decoder, context)?,
            warm_up: Duration::from_micros(decoder.u64()?),
        })
    }
}
