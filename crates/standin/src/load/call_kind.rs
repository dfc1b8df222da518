//! What clients call.

use std::str::FromStr;
use std::time::Duration;

/// One kind of call in the clients' mix.
#[derive(Clone, Debug, PartialEq)]
pub struct CallKind {
    /// The service.
    pub service: String,
    /// Priority class, written in the header; empty to leave it to the table.
    pub class: String,
    /// Share of the mix, relative to the other kinds.
    pub share: f64,
    /// Whether it carries an idempotency key.
    pub keyed: bool,
    /// Length of the call's body.
    pub body_bytes: u64,
    /// Length of the wanted answer.
    pub answer_bytes: u64,
    /// How long the client waits for one attempt.
    pub timeout: Duration,
    /// Pause between two blocks of the answer.
    pub pace: Duration,
}

const DEFAULT_BODY_BYTES: u64 = 200;
const DEFAULT_ANSWER_BYTES: u64 = 500;
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(1000);

impl Default for CallKind {
    fn default() -> Self {
        CallKind {
            service: String::new(),
            class: String::new(),
            share: 1.0,
            keyed: false,
            body_bytes: DEFAULT_BODY_BYTES,
            answer_bytes: DEFAULT_ANSWER_BYTES,
            timeout: DEFAULT_TIMEOUT,
            pace: Duration::ZERO,
        }
    }
}

impl FromStr for CallKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut kind = CallKind::default();
        for field in text.split(',') {
            kind.set(field)?;
        }
        if kind.service.is_empty() {
            return Err("a call needs service=NAME".to_owned());
        }
        Ok(kind)
    }
}

impl CallKind {
    fn set(&mut self, field: &str) -> Result<(), String> {
        let (name, value) = field
            .split_once('=')
            .ok_or_else(|| format!("`{field}` is not `name=value`"))?;
        match name {
            "service" => self.service = value.to_owned(),
            "class" => self.class = value.to_owned(),
            "share" => self.share = number(field, value)?,
            "keyed" => self.keyed = value == "yes",
            "body" => self.body_bytes = number(field, value)?,
            "answer" => self.answer_bytes = number(field, value)?,
            "timeout_ms" => self.timeout = Duration::from_millis(number(field, value)?),
            "pace_ms" => self.pace = Duration::from_millis(number(field, value)?),
            _ => return Err(format!("a call has no field `{name}`")),
        }
        Ok(())
    }
}

fn number<T: FromStr>(field: &str, value: &str) -> Result<T, String> {
    value
        .parse()
        .map_err(|_| format!("`{field}`: not a number"))
}
