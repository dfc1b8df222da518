//! Encodings of `state` values inside messages, for `#[cbor(with = "...")]`.

/// [`lifthollow_state::NodeId`] as its packed number.
pub mod node_id {
    use lifthollow_state::NodeId;
    use minicbor::decode::{Decoder, Error as DecodeError};
    use minicbor::encode::{Encoder, Error as EncodeError, Write};

    /// Writes the packed number.
    pub fn encode<C, W: Write>(
        node: &NodeId,
        encoder: &mut Encoder<W>,
        _context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        encoder.u64(node.as_u64())?;
        Ok(())
    }

    /// Reads the packed number.
    pub fn decode<C>(decoder: &mut Decoder<'_>, _context: &mut C) -> Result<NodeId, DecodeError> {
        decoder.u64().map(NodeId::from_u64)
    }
}

/// [`lifthollow_state::Incarnation`] as its number.
pub mod incarnation {
    use lifthollow_state::Incarnation;
    use minicbor::decode::{Decoder, Error as DecodeError};
    use minicbor::encode::{Encoder, Error as EncodeError, Write};

    /// Writes the number.
    pub fn encode<C, W: Write>(
        incarnation: &Incarnation,
        encoder: &mut Encoder<W>,
        _context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        encoder.u64(incarnation.0)?;
        Ok(())
    }

    /// Reads the number.
    pub fn decode<C>(
        decoder: &mut Decoder<'_>,
        _context: &mut C,
    ) -> Result<Incarnation, DecodeError> {
        decoder.u64().map(Incarnation)
    }
}

/// [`lifthollow_state::IdempotencyKey`] as 16 bytes, most significant first.
pub mod idempotency_key {
    use lifthollow_state::IdempotencyKey;
    use minicbor::decode::{Decoder, Error as DecodeError};
    use minicbor::encode::{Encoder, Error as EncodeError, Write};

    /// Writes the bytes.
    pub fn encode<C, W: Write>(
        key: &IdempotencyKey,
        encoder: &mut Encoder<W>,
        _context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        encoder.bytes(&key.0.to_be_bytes())?;
        Ok(())
    }

    /// Reads the bytes.
    pub fn decode<C>(
        decoder: &mut Decoder<'_>,
        _context: &mut C,
    ) -> Result<IdempotencyKey, DecodeError> {
        let bytes: [u8; 16] = decoder
            .bytes()?
            .try_into()
            .map_err(|_| DecodeError::message("an idempotency key has 16 bytes"))?;
        Ok(IdempotencyKey(u128::from_be_bytes(bytes)))
    }
}

/// [`lifthollow_state::Side`] as one bit: false is old, true is new.
pub mod side {
    use lifthollow_state::Side;
    use minicbor::decode::{Decoder, Error as DecodeError};
    use minicbor::encode::{Encoder, Error as EncodeError, Write};

    /// Writes the bit.
    pub fn encode<C, W: Write>(
        side: &Side,
        encoder: &mut Encoder<W>,
        _context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        encoder.bool(*side == Side::New)?;
        Ok(())
    }

    /// Reads the bit.
    pub fn decode<C>(decoder: &mut Decoder<'_>, _context: &mut C) -> Result<Side, DecodeError> {
        let is_new = decoder.bool()?;
        Ok(if is_new { Side::New } else { Side::Old })
    }
}

/// [`lifthollow_state::Zone`] as its number.
pub mod zone {
    use lifthollow_state::Zone;
    use minicbor::decode::{Decoder, Error as DecodeError};
    use minicbor::encode::{Encoder, Error as EncodeError, Write};

    /// Writes the number.
    pub fn encode<C, W: Write>(
        zone: &Zone,
        encoder: &mut Encoder<W>,
        _context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        encoder.u16(zone.0)?;
        Ok(())
    }

    /// Reads the number.
    pub fn decode<C>(decoder: &mut Decoder<'_>, _context: &mut C) -> Result<Zone, DecodeError> {
        decoder.u16().map(Zone)
    }
}

/// [`std::time::Duration`] in whole milliseconds.
pub mod milliseconds {
    use std::time::Duration;

    use minicbor::decode::{Decoder, Error as DecodeError};
    use minicbor::encode::{Encoder, Error as EncodeError, Write};

    /// Writes the milliseconds.
    pub fn encode<C, W: Write>(
        duration: &Duration,
        encoder: &mut Encoder<W>,
        _context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        encoder.u64(millis)?;
        Ok(())
    }

    /// Reads the milliseconds.
    pub fn decode<C>(decoder: &mut Decoder<'_>, _context: &mut C) -> Result<Duration, DecodeError> {
        decoder.u64().map(Duration::from_millis)
    }
}
