//! One life of a server.

use std::fmt;
use std::net::SocketAddrV4;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use minicbor::decode::{Decoder, Error as DecodeError};
use minicbor::encode::{Encoder, Error as EncodeError, Write};
use minicbor::{Decode, Encode};

/// Names one start of a server: the identity that it announces, and when it started. A server
/// that takes over an address has another identity; one that starts again may keep it, and then
/// knows nothing of before. Whatever is known of a server is kept by both together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId {
    name: Arc<str>,
    started_ms: Option<u64>,
}

impl InstanceId {
    /// The identity with this text, of a server that doesn't say when it started.
    pub fn new(name: &str) -> Self {
        InstanceId {
            name: name.into(),
            started_ms: None,
        }
    }

    /// The same identity, of the server that started at this Unix time, milliseconds.
    pub fn started_at(self, milliseconds: u64) -> Self {
        InstanceId {
            started_ms: Some(milliseconds),
            ..self
        }
    }

    /// The identity as the server announces it, the same for all of its starts.
    pub fn as_str(&self) -> &str {
        &self.name
    }

    /// Whether both name starts of one server.
    pub fn is_same_server(&self, other: &InstanceId) -> bool {
        self.name == other.name
    }
}

/// As the server announces it, and when it started if that is known.
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

/// Whether a server wants new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum ServerState {
    /// It does.
    #[n(0)]
    Ready,
    /// It finishes what it has and ends soon.
    #[n(1)]
    Draining,
}

/// One life of a server, as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInstance {
    /// Which life it is.
    pub id: InstanceId,
    /// The service it belongs to.
    pub service: String,
    /// Where it listens. Only the node beside it can reach it there.
    pub address: SocketAddrV4,
    /// The zone it stands in.
    pub zone: String,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it wants new work.
    pub state: ServerState,
    /// How much longer it stays slow after its start, as of the announcement.
    pub warm_up: Duration,
}

impl ServerInstance {
    /// Whether it wants new work.
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
                .map_err(|_| DecodeError::message("not an IPv4 address and port"))?,
            zone: decoder.str()?.to_owned(),
            slots: decoder.u32()?,
            state: ServerState::decode(decoder, context)?,
            warm_up: Duration::from_micros(decoder.u64()?),
        })
    }
}
