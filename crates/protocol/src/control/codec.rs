//! CBOR encoding of types of the `state` crate that don't implement it themselves.

/// Defines a module with the `encode` and `decode` functions that
/// `#[cbor(with = "...")]` requires. Values are converted to and from the type `$wire`,
/// which implements the CBOR encoding.
macro_rules! define_cbor_module {
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

/// Maximum length of a service name that is accepted from the network.
const MAX_SERVICE_NAME_BYTES: usize = 128;

fn service_name(text: String) -> Option<ServiceName> {
    (text.len() <= MAX_SERVICE_NAME_BYTES).then(|| ServiceName::new(&text))
}

define_cbor_module!(node_id, NodeId, u64, |node| node.as_u64(), |packed| Some(
    NodeId::from_u64(packed)
));
define_cbor_module!(
    incarnation,
    Incarnation,
    u64,
    |incarnation| incarnation.0,
    |number| Some(Incarnation(number))
);
define_cbor_module!(
    service,
    ServiceName,
    String,
    |service| service.as_str().to_owned(),
    service_name
);
define_cbor_module!(
    services,
    Vec<ServiceName>,
    Vec<String>,
    |services| services
        .iter()
        .map(|name| name.as_str().to_owned())
        .collect(),
    |names| names.into_iter().map(service_name).collect()
);
define_cbor_module!(side, Side, u8, |side| *side as u8, |index| Side::ALL
    .get(usize::from(index))
    .copied());
define_cbor_module!(zone, Zone, u16, |zone| zone.0, |number| Some(Zone(number)));
define_cbor_module!(class, PriorityClass, u8, |class| *class as u8, |index| {
    PriorityClass::ALL.get(usize::from(index)).copied()
});
define_cbor_module!(
    version,
    TableVersion,
    (u64, u64),
    |version| (version.number, version.digest),
    |(number, digest)| Some(TableVersion { number, digest })
);
define_cbor_module!(
    optional_version,
    Option<TableVersion>,
    Option<(u64, u64)>,
    |version| version.map(|version| (version.number, version.digest)),
    |wire| Some(wire.map(|(number, digest)| TableVersion { number, digest }))
);
define_cbor_module!(
    milliseconds,
    Duration,
    u64,
    |duration| duration.as_millis() as u64,
    |milliseconds| Some(Duration::from_millis(milliseconds))
);
define_cbor_module!(
    idempotency_key,
    IdempotencyKey,
    ByteArray<16>,
    |key| key.0.to_be_bytes().into(),
    |bytes| Some(IdempotencyKey(u128::from_be_bytes(bytes.into())))
);
