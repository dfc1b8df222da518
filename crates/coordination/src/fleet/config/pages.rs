//! Builds the pages that answer a request for table rows.

use std::mem::size_of;

use lifthollow_protocol::control::{
    DATAGRAM_HEADER_BYTES, MAX_DATAGRAM_BYTES, RowKey, TablePage, TableRequest, encoded_length,
};
use lifthollow_state::{Table, TableRow};

use super::history::History;

/// Bytes reserved in a datagram for the message envelope and header around a page.
const ENVELOPE_BYTES: usize = 64;
const MAX_PAGE_BYTES: usize = MAX_DATAGRAM_BYTES - DATAGRAM_HEADER_BYTES - ENVELOPE_BYTES;

/// One item of a page: a row to set, or the key of a row to remove.
enum Entry<'a> {
    Row(&'a TableRow),
    Removed(&'a RowKey),
}

impl Entry<'_> {
    fn key(&self) -> RowKey {
        match self {
            Entry::Row(row) => RowKey::of(row),
            Entry::Removed(key) => (*key).clone(),
        }
    }

    fn add_to(&self, page: &mut TablePage) {
        match self {
            Entry::Row(row) => page.push_row(row),
            Entry::Removed(key) => page.removed.push((*key).clone()),
        }
    }
}

/// The pages that follow the key `request.after`, up to the last row. They hold the
/// rows that changed since `request.have` if the history covers that version, else
/// all rows.
pub(super) fn pages<'a>(
    table: &'a Table,
    history: &'a History,
    request: &'a TableRequest,
) -> impl Iterator<Item = TablePage> + 'a {
    let keys = history.keys_since(request.have);
    let base = keys.as_ref().map(|_| request.have);
    let entries: Vec<Entry<'a>> = match keys {
        Some(keys) => keys.into_iter().map(|key| entry(table, key)).collect(),
        None => table.rows().map(Entry::Row).collect(),
    };
    let mut remaining = entries
        .into_iter()
        .filter(|entry| is_after(entry, request.after.as_ref()))
        .peekable();
    let mut after = request.after.clone();
    let mut finished = false;
    std::iter::from_fn(move || {
        if finished {
            return None;
        }
        let mut page = TablePage::empty(base, table.version(), after.clone());
        let mut bytes = encoded_length(&page);
        while let Some(entry) = remaining.next_if(|entry| reserve_space(entry, &mut bytes)) {
            entry.add_to(&mut page);
        }
        after = page.last_key().or(after.take());
        page.last = remaining.peek().is_none();
        finished = page.last;
        Some(page)
    })
}

fn is_after(entry: &Entry<'_>, after: Option<&RowKey>) -> bool {
    after.is_none_or(|after| entry.key() > *after)
}

fn entry<'a>(table: &'a Table, key: &'a RowKey) -> Entry<'a> {
    match table.row(&key.service, key.side) {
        Some(row) => Entry::Row(row),
        None => Entry::Removed(key),
    }
}

/// Adds the encoded length of the entry to `bytes` and returns whether the page
/// still has room for it.
fn reserve_space(entry: &Entry<'_>, bytes: &mut usize) -> bool {
    let added = match entry {
        Entry::Row(row) => encoded_length(&RowKey::of(row)) + ROW_VALUE_BYTES,
        Entry::Removed(key) => encoded_length(*key),
    };
    *bytes += added;
    *bytes <= MAX_PAGE_BYTES
}

/// Upper bound in bytes of a row's encoded values without its key: array header,
/// four 32-bit numbers, class, flag and a 64-bit number.
const ROW_VALUE_BYTES: usize = 1 + 4 * 5 + 1 + 1 + 9;

/// Estimated memory used by a table, in bytes, for capacity planning.
pub(super) fn table_bytes(table: &Table) -> usize {
    const TREE_OVERHEAD: usize = 16;
    const NAME_BYTES: usize = 32;
    table.rows().count()
        * (size_of::<RowKey>() + size_of::<TableRow>() + TREE_OVERHEAD + NAME_BYTES)
}
