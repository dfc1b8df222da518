//! Reads the settings file: TOML to texts with their places.

use std::ops::Range;
use std::sync::Arc;

use lifthollow_state::Findings;
use lifthollow_state::finding::{Place, quoted};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::Key;
use super::raw::{RawBackend, RawSettings, RawValue};

type Value<'i> = Spanned<DeValue<'i>>;

/// Reads the file's settings. Faults of syntax, unknown keys and values of a
/// wrong type are added to `findings`; what can be read is returned.
pub(super) fn read(name: &str, text: &str, findings: &mut Findings) -> RawSettings {
    let mut reader = Reader {
        file: Arc::from(name),
        text,
        findings,
        raw: RawSettings::default(),
    };
    let (document, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let place = reader.place(error.span().unwrap_or_default());
        reader.findings.add(place, error.message());
    }
    reader.settings(document.get_ref());
    reader.raw
}

struct Reader<'a> {
    file: Arc<str>,
    text: &'a str,
    findings: &'a mut Findings,
    raw: RawSettings,
}

impl Reader<'_> {
    /// The place of a range of bytes: line and column (in characters) of its start.
    fn place(&self, span: Range<usize>) -> Place {
        let before = self.text.get(..span.start).unwrap_or(self.text);
        let line_start = before.rfind('\n').map_or(0, |position| position + 1);
        let row = before.matches('\n').count() + 1;
        let column = before[line_start..].chars().count() + 1;
        Place::cell(&self.file, row, column)
    }

    fn add(&mut self, span: Range<usize>, message: String) {
        let place = self.place(span);
        self.findings.add(place, message);
    }

    fn settings(&mut self, table: &DeTable<'_>) {
        for (name, value) in table {
            match Key::from_name(name.get_ref()) {
                Some(Key::SeedNodes) => self.seed_nodes(value),
                Some(Key::Backends) => self.backends(value),
                Some(key) => self.single_value(key, value),
                None => {
                    let known = Key::ALL.map(Key::as_str).join(", ");
                    let message = format!(
                        "{} is not a setting; known are {known}",
                        quoted(name.get_ref())
                    );
                    self.add(name.span(), message);
                }
            }
        }
    }

    fn single_value(&mut self, key: Key, value: &Value<'_>) {
        match self.scalar(key.as_str(), value) {
            Some(value) => {
                self.raw.values.insert(key, value);
            }
            None => {
                self.raw.unreadable.insert(key);
            }
        }
    }

    /// The text of a value that is a string or a whole number.
    fn scalar(&mut self, name: &str, value: &Value<'_>) -> Option<RawValue> {
        let text = match value.get_ref() {
            DeValue::String(text) => text.to_string(),
            DeValue::Integer(number) if number.radix() == 10 => number.as_str().to_owned(),
            other => {
                let message = format!("`{name}` is a string or a number, not {}", type_name(other));
                self.add(value.span(), message);
                return None;
            }
        };
        let place = self.place(value.span());
        Some(RawValue { text, place })
    }

    fn seed_nodes(&mut self, value: &Value<'_>) {
        let Some(items) = value.get_ref().as_array() else {
            return self.not_a_list(Key::SeedNodes, value);
        };
        for item in items.iter() {
            if let Some(item) = self.scalar(Key::SeedNodes.as_str(), item) {
                self.raw.seed_nodes.push(item);
            }
        }
    }

    fn backends(&mut self, value: &Value<'_>) {
        let Some(items) = value.get_ref().as_array() else {
            return self.not_a_list(Key::Backends, value);
        };
        for item in items.iter() {
            match item.get_ref().as_table() {
                Some(table) => self.backend(item.span(), table),
                None => {
                    let message = "a back end is a table with `service` and `address`";
                    self.add(item.span(), message.to_owned());
                }
            }
        }
    }

    fn backend(&mut self, span: Range<usize>, table: &DeTable<'_>) {
        let mut service = None;
        let mut address = None;
        for (name, value) in table {
            match name.get_ref().as_ref() {
                "service" => service = Some(self.scalar("service", value)),
                "address" => address = Some(self.scalar("address", value)),
                other => {
                    let message = format!(
                        "{} is not a key of a back end; known are service, address",
                        quoted(other)
                    );
                    self.add(name.span(), message);
                }
            }
        }
        for (name, is_missing) in [
            ("service", service.is_none()),
            ("address", address.is_none()),
        ] {
            if is_missing {
                self.add(span.clone(), format!("the back end's `{name}` is missing"));
            }
        }
        if let (Some(Some(service)), Some(Some(address))) = (service, address) {
            self.raw.backends.push(RawBackend { service, address });
        }
    }

    fn not_a_list(&mut self, key: Key, value: &Value<'_>) {
        let message = format!("`{key}` is a list, not {}", type_name(value.get_ref()));
        self.add(value.span(), message);
    }
}

fn type_name(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) => "a number with a prefix",
        DeValue::Float(_) => "a number with a fraction",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date or time",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}
