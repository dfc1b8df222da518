//! Parsing the platform's list of machines: CSV with the header
//! `address,service,side,zone,state`.

use std::net::SocketAddrV4;
use std::str::FromStr;
use std::sync::Arc;

use lifthollow_coordination::fleet::Machine;
use lifthollow_state::finding::{Place, bounded_number, unknown};
use lifthollow_state::{Findings, NodeId, ServiceName, Side, Zone};

const HEADER: [&str; 5] = ["address", "service", "side", "zone", "state"];

/// Parses the list of machines; every fault is reported with its row and column.
pub fn parse(file_name: &str, bytes: &[u8]) -> Result<Vec<Machine>, Findings> {
    let mut reader = RowReader {
        file: Arc::from(file_name),
        findings: Findings::default(),
    };
    let mut records = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(csv::Trim::All)
        .from_reader(bytes);
    let mut machines = Vec::new();
    for (index, record) in records.records().enumerate() {
        let row = index + 1;
        match record {
            Ok(record) if index == 0 => reader.check_header(&record),
            Ok(record) => machines.extend(reader.read_machine(row, &record)),
            Err(error) => reader.add_fault(row, 1, error.to_string()),
        }
    }
    if reader.findings.is_empty() {
        return Ok(machines);
    }
    Err(reader.findings)
}

struct RowReader {
    file: Arc<str>,
    findings: Findings,
}

impl RowReader {
    fn add_fault(&mut self, row: usize, column: usize, message: String) {
        let place = Place::cell(&self.file, row, column);
        self.findings.add(place, message);
    }

    fn check_header(&mut self, record: &csv::StringRecord) {
        if record.iter().ne(HEADER) {
            let expected = HEADER.join(",");
            self.add_fault(1, 1, format!("the header must be `{expected}`"));
        }
    }

    fn read_machine(&mut self, row: usize, record: &csv::StringRecord) -> Option<Machine> {
        if record.len() != HEADER.len() {
            let message = format!("{} cells in place of {}", record.len(), HEADER.len());
            self.add_fault(row, 1, message);
            return None;
        }
        let cell = |column: usize| (column + 1, record.get(column).unwrap_or_default());
        let address = self.read(row, cell(0), address);
        let service = self.read(row, cell(1), service);
        let side = self.read(row, cell(2), side);
        let zone = self.read(row, cell(3), zone);
        let leaving = self.read(row, cell(4), leaving);
        Some(Machine {
            node: address?,
            service: service?,
            side: side?,
            zone: zone?,
            leaving: leaving?,
        })
    }

    fn read<T>(
        &mut self,
        row: usize,
        (column, text): (usize, &str),
        read: fn(&str) -> Result<T, String>,
    ) -> Option<T> {
        read(text)
            .map_err(|message| self.add_fault(row, column, message))
            .ok()
    }
}

fn address(text: &str) -> Result<NodeId, String> {
    SocketAddrV4::from_str(text)
        .map(NodeId::from_address)
        .map_err(|_| unknown(text, "an address is IPv4:PORT"))
}

fn service(text: &str) -> Result<ServiceName, String> {
    ServiceName::from_str(text).map_err(|fault| unknown(text, fault))
}

fn side(text: &str) -> Result<Side, String> {
    Side::from_str(text).map_err(|fault| unknown(text, fault))
}

fn zone(text: &str) -> Result<Zone, String> {
    bounded_number(text, &(0..=u16::MAX)).map(Zone)
}

fn leaving(text: &str) -> Result<bool, String> {
    match text {
        "live" => Ok(false),
        "leaving" => Ok(true),
        _ => Err(unknown(text, "a state is `live` or `leaving`")),
    }
}
