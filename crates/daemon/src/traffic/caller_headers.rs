//! The request headers in which a caller describes its call.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::HeaderName;

use lifthollow_state::{PriorityClass, ServiceName};

use crate::traffic::parents::ContextToken;

/// Header with the service that is called.
pub const SERVICE: &str = "lifthollow-service";
/// Header with the time until the caller stops waiting, milliseconds.
pub const DEADLINE: &str = "lifthollow-deadline-ms";
/// Header with the priority class of the call.
pub const CLASS: &str = "lifthollow-class";
/// Header with the name of an operation that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the client's name for the whole request.
pub const REQUEST: &str = "lifthollow-request";
/// Header with the number of the client's attempt; 1 is the first.
pub const ATTEMPT: &str = "lifthollow-attempt";
/// Header that links a call to the attempt whose back end makes it.
pub const CONTEXT: &str = "lifthollow-context";

/// Headers with this prefix are exchanged only between a process and its own node.
const INTERNAL_PREFIX: &str = "lifthollow-";
/// Longest name of a request or idempotency key.
const MAX_NAME_BYTES: usize = 256;
/// Longest deadline that a caller can set.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// Whether a header is between a process and its own node, and so is not forwarded.
pub fn is_internal_header(name: &HeaderName) -> bool {
    name.as_str().starts_with(INTERNAL_PREFIX)
}

/// The parsed headers in which a caller describes its call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHeaders {
    /// The service that is called.
    pub service: ServiceName,
    /// Time until the caller stops waiting.
    pub deadline: Option<Duration>,
    /// Priority class of the call.
    pub class: Option<PriorityClass>,
    /// Name of an operation that must run at most once.
    pub idempotency_key: Option<String>,
    /// The client's name for the whole request.
    pub request: Option<String>,
    /// Number of the client's attempt; 1 is the first.
    pub attempt: u32,
    /// The attempt whose back end makes the call.
    pub context: Option<ContextToken>,
}

/// A fault of one header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderFault {
    /// Name of the header.
    pub header: &'static str,
    /// Description of the fault.
    pub message: String,
}

/// All faults of a call's headers, displayed one a line.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct HeaderFaults(pub Vec<HeaderFault>);

impl fmt::Display for HeaderFaults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.0 {
            writeln!(formatter, "{}: {}", fault.header, fault.message)?;
        }
        Ok(())
    }
}

/// Parses the headers; all faults are reported together.
pub fn parse(headers: &HeaderMap) -> Result<CallerHeaders, HeaderFaults> {
    let mut reader = HeaderReader {
        headers,
        faults: HeaderFaults::default(),
    };
    let service = reader.read(SERVICE, service);
    if service.is_none() && !headers.contains_key(SERVICE) {
        reader.fault(SERVICE, "missing; it names the service to call".to_owned());
    }
    let parsed = CallerHeaders {
        service: service.unwrap_or_else(|| ServiceName::new("")),
        deadline: reader.read(DEADLINE, deadline),
        class: reader.read(CLASS, class),
        idempotency_key: reader.read(IDEMPOTENCY_KEY, name),
        request: reader.read(REQUEST, name),
        attempt: reader.read(ATTEMPT, attempt).unwrap_or(1),
        context: reader.read(CONTEXT, context),
    };
    if reader.faults.0.is_empty() {
        return Ok(parsed);
    }
    Err(reader.faults)
}

struct HeaderReader<'headers> {
    headers: &'headers HeaderMap,
    faults: HeaderFaults,
}

impl HeaderReader<'_> {
    fn fault(&mut self, header: &'static str, message: String) {
        self.faults.0.push(HeaderFault { header, message });
    }

    fn read<T>(&mut self, header: &'static str, read: fn(&str) -> Result<T, String>) -> Option<T> {
        let mut values = self.headers.get_all(header).iter();
        let value = values.next()?;
        if values.next().is_some() {
            self.fault(header, "given more than once".to_owned());
            return None;
        }
        let text = value.to_str().map_err(|_| "not plain text".to_owned());
        match text.and_then(read) {
            Ok(value) => Some(value),
            Err(message) => {
                self.fault(header, message);
                None
            }
        }
    }
}

fn service(text: &str) -> Result<ServiceName, String> {
    ServiceName::from_str(text).map_err(|fault| fault.to_string())
}

fn deadline(text: &str) -> Result<Duration, String> {
    let longest = MAX_DEADLINE.as_millis();
    let milliseconds = u64::from_str(text).ok().map(Duration::from_millis);
    milliseconds
        .filter(|deadline| *deadline <= MAX_DEADLINE)
        .ok_or_else(|| format!("not a whole number of milliseconds up to {longest}"))
}

fn class(text: &str) -> Result<PriorityClass, String> {
    PriorityClass::from_str(text).map_err(|fault| fault.to_string())
}

fn name(text: &str) -> Result<String, String> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(format!("must have 1 to {MAX_NAME_BYTES} bytes"));
    }
    Ok(text.to_owned())
}

fn attempt(text: &str) -> Result<u32, String> {
    let number = u32::from_str(text).ok().filter(|number| *number > 0);
    number.ok_or_else(|| "not a whole number from 1".to_owned())
}

fn context(text: &str) -> Result<ContextToken, String> {
    ContextToken::from_str(text).map_err(|fault| fault.to_string())
}
