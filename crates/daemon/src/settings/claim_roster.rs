//! The roster file: which nodes store claims on idempotency keys.
//!
//! CSV whose first record is `lifthollow-roster,EPOCH`, then the header
//! `address,side,zone,standing`, then one row for each member. `standing` is
//! `member`; while the roster changes, `joining` or `leaving` for members of only
//! the next or only the previous roster.

use std::net::SocketAddrV4;
use std::str::FromStr;
use std::sync::Arc;

use csv::StringRecord;
use lifthollow_protocol::{Roster, RosterMember};
use lifthollow_state::finding::{Place, bounded_number, unknown};
use lifthollow_state::{Findings, NodeId, Side, Zone};

const TITLE: &str = "lifthollow-roster";
const HEADER: [&str; 4] = ["address", "side", "zone", "standing"];
const FIRST_MEMBER_ROW: usize = 3;

/// Whether a member belongs to the current roster, to the previous one, or to both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Member,
    Joining,
    Leaving,
}

/// Parses the text of a roster file. Every fault is added to `findings`.
pub(super) fn read(name: &str, text: &str, findings: &mut Findings) -> Option<Roster> {
    let mut reader = Reader {
        file: Arc::from(name),
        findings,
    };
    let records = reader.records(text)?;
    let epoch = reader.epoch(records.first());
    reader.header(records.get(1));
    let members: Vec<(RosterMember, Standing)> = records
        .iter()
        .enumerate()
        .skip(FIRST_MEMBER_ROW - 1)
        .filter_map(|(index, record)| reader.member(index + 1, record))
        .collect();
    Some(roster(epoch?, &members))
}

struct Reader<'a> {
    file: Arc<str>,
    findings: &'a mut Findings,
}

impl Reader<'_> {
    fn records(&mut self, text: &str) -> Option<Vec<StringRecord>> {
        let mut reader = csv::ReaderBuilder::new();
        let reader = reader.has_headers(false).flexible(true);
        let records = reader.trim(csv::Trim::All).from_reader(text.as_bytes());
        match records.into_records().collect() {
            Ok(records) => Some(records),
            Err(error) => {
                let place = Place::File(Arc::clone(&self.file));
                self.findings.add(place, error.to_string());
                None
            }
        }
    }

    fn epoch(&mut self, record: Option<&StringRecord>) -> Option<u32> {
        let cell = |column| record.and_then(|record| record.get(column)).unwrap_or("");
        if cell(0) != TITLE {
            let message = format!("the first record is `{TITLE},EPOCH`");
            self.add(1, 1, message);
        }
        self.read(1, 2, cell(1), |text| bounded_number(text, &(1..=u32::MAX)))
    }

    fn header(&mut self, record: Option<&StringRecord>) {
        if record.is_none_or(|record| record.iter().ne(HEADER)) {
            let message = format!("the second record is `{}`", HEADER.join(","));
            self.add(2, 1, message);
        }
    }

    fn member(&mut self, row: usize, record: &StringRecord) -> Option<(RosterMember, Standing)> {
        let cell = |column: usize| record.get(column - 1).unwrap_or("");
        let address = self.read(row, 1, cell(1), |text| {
            SocketAddrV4::from_str(text).map_err(|_| unknown(text, "a node's address is IPv4:PORT"))
        });
        let side = self.read(row, 2, cell(2), |text| {
            Side::from_str(text).map_err(|fault| unknown(text, fault))
        });
        let zone = self.read(row, 3, cell(3), |text| {
            bounded_number(text, &(0..=u16::MAX))
        });
        let standing = self.read(row, 4, cell(4), standing);
        let member = RosterMember {
            node: NodeId::from_address(address?),
            side: side?,
            zone: Zone(zone?),
        };
        Some((member, standing?))
    }

    fn read<T>(
        &mut self,
        row: usize,
        column: usize,
        text: &str,
        read: impl Fn(&str) -> Result<T, String>,
    ) -> Option<T> {
        match read(text) {
            Ok(value) => Some(value),
            Err(fault) => {
                self.add(row, column, fault);
                None
            }
        }
    }

    fn add(&mut self, row: usize, column: usize, message: String) {
        let place = Place::cell(&self.file, row, column);
        self.findings.add(place, message);
    }
}

fn standing(text: &str) -> Result<Standing, String> {
    match text {
        "member" => Ok(Standing::Member),
        "joining" => Ok(Standing::Joining),
        "leaving" => Ok(Standing::Leaving),
        _ => Err(unknown(
            text,
            "a standing is `member`, `joining` or `leaving`",
        )),
    }
}

fn roster(epoch: u32, rows: &[(RosterMember, Standing)]) -> Roster {
    let without = |excluded: Standing| {
        let rows = rows
            .iter()
            .filter(move |(_, standing)| *standing != excluded);
        let mut members: Vec<RosterMember> = rows.map(|(member, _)| *member).collect();
        members.sort();
        members.dedup();
        members
    };
    let is_change = rows
        .iter()
        .any(|(_, standing)| *standing != Standing::Member);
    Roster {
        epoch,
        members: without(Standing::Leaving),
        previous: if is_change {
            without(Standing::Joining)
        } else {
            Vec::new()
        },
    }
}
