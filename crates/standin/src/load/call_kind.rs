//! Kinds of calls that clients make, as parsed from the `--call` option.

use std::str::FromStr;
use std::time::Duration;

/// One kind of call in the mix of calls that clients make.
#[derive(Clone, Debug, PartialEq)]
pub struct CallKind {
    /// Name of the called service.
    pub service: String,
    /// Priority class sent in the class header. If empty, no header is sent and the configuration
    /// table determines the class.
    pub class: String,
    /// Weight of this kind in the mix, relative to the other kinds.
    pub share: f64,
    /// Whether the calls carry an idempotency key.
    pub keyed: bool,
    /// Length of the request body in bytes.
    pub body_bytes: u64,
    /// Length of the requested response body in bytes.
    pub answer_bytes: u64,
    /// Maximum time that the client waits for the response to one attempt.
    pub timeout: Duration,
    /// Delay between two blocks of the response body.
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
