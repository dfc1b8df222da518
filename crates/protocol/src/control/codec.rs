//! CBOR forms of values of the `state` crate, which knows no codec.

/// Defines a module with the `encode` and `decode` functions that
/// `#[cbor(with = "...")]` asks for, by way of a plain wire value.
macro_rules! wire_form {
    ($name:ident, $value:ty, $wire:ty, $to:expr, $from:expr) => {
        pub mod $name {
            use super::*;
            use minicbor::decode::{self, Decode, Decoder};
            use minicbor::encode::{self, Encode, Encoder, Write};

            pub fn encode<C, W: Write>(
                value: &$value,
                encoder: &mut Encoder<W>,
                context: &mut C,
            ) -> Result<(), encode::Error<W::Error>> {
                let to: fn(&$value) -> $wire = $to;
                to(value).encode(encoder, context)
            }

            pub fn decode<C>(
                decoder: &mut Decoder<'_>,
                context: &mut C,
            ) -> Result<$value, decode::Error> {
                let from: fn($wire) -> Option<$value> = $from;
                let wire = <$wire as Decode<C>>::decode(decoder, context)?;
                from(wire).ok_or_else(|| decode::Error::message(stringify!($name)))
            }
        }
    };
}

use std::time::Duration;

use minicbor::bytes::ByteArray;

use lifthollow_state::{
    IdempotencyKey, Incarnation, NodeId, PriorityClass, ServiceName, Side, TableVersion, Zone,
};

/// Longest name of a service that is taken from the network.
const MAX_SERVICE_NAME_BYTES: usize = 128;

fn service_name(text: String) -> Option<ServiceName> {
    (text.len() <= MAX_SERVICE_NAME_BYTES).then(|| ServiceName::new(&text))
}

wire_form!(node_id, NodeId, u64, |node| node.as_u64(), |packed| Some(
    NodeId::from_u64(packed)
));
wire_form!(
    incarnation,
    Incarnation,
    u64,
    |incarnation| incarnation.0,
    |number| Some(Incarnation(number))
);
wire_form!(
    service,
    ServiceName,
    String,
    |service| service.as_str().to_owned(),
    service_name
);
wire_form!(
    services,
    Vec<ServiceName>,
    Vec<String>,
    |services| services
        .iter()
        .map(|name| name.as_str().to_owned())
        .collect(),
    |names| names.into_iter().map(service_name).collect()
);
wire_form!(side, Side, u8, |side| *side as u8, |index| Side::ALL
    .get(usize::from(index))
    .copied());
wire_form!(zone, Zone, u16, |zone| zone.0, |number| Some(Zone(number)));
wire_form!(class, PriorityClass, u8, |class| *class as u8, |index| {
    PriorityClass::ALL.get(usize::from(index)).copied()
});
wire_form!(
    version,
    TableVersion,
    (u64, u64),
    |version| (version.number, version.digest),
    |(number, digest)| Some(TableVersion { number, digest })
);
wire_form!(
    optional_version,
    Option<TableVersion>,
    Option<(u64, u64)>,
    |version| version.map(|version| (version.number, version.digest)),
    |wire| Some(wire.map(|(number, digest)| TableVersion { number, digest }))
);
wire_form!(
    milliseconds,
    Duration,
    u64,
    |duration| duration.as_millis() as u64,
    |milliseconds| Some(Duration::from_millis(milliseconds))
);
wire_form!(
    idempotency_key,
    IdempotencyKey,
    ByteArray<16>,
    |key| key.0.to_be_bytes().into(),
    |bytes| Some(IdempotencyKey(u128::from_be_bytes(bytes.into())))
);
