//! CBOR encoding of standard library types: durations are encoded as whole microseconds.

pub(super) mod optional_duration {
    use std::time::Duration;

    use minicbor::decode::{Decoder, Error as DecodeError};
    use minicbor::encode::{Encoder, Error as EncodeError, Write};

    pub fn encode<C, W: Write>(
        duration: &Option<Duration>,
        encoder: &mut Encoder<W>,
        _context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        match duration {
            Some(duration) => encoder.u64(duration.as_micros() as u64)?.ok(),
            None => encoder.null()?.ok(),
        }
    }

    pub fn decode<C>(
        decoder: &mut Decoder<'_>,
        _context: &mut C,
    ) -> Result<Option<Duration>, DecodeError> {
        if decoder.datatype()? == minicbor::data::Type::Null {
            decoder.null()?;
            return Ok(None);
        }
        Ok(Some(Duration::from_micros(decoder.u64()?)))
    }
}
