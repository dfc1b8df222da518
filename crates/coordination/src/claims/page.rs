//! Splits claims into pages that fit into one datagram each.

use lifthollow_protocol::{KnownClaim, NextPage, RecordedOutcome};

/// Maximum encoded size of the claims in one page, in bytes. A page holds at least one
/// claim, even if that exceeds the limit.
const MAX_PAGE_BYTES: usize = 900;
/// Maximum encoded size of a claim without its recorded answer, in bytes.
const MAX_CLAIM_BYTES: usize = 56;

/// Takes the claims of one page; also returns the first key of the next page, if any.
pub fn take_page(claims: impl Iterator<Item = KnownClaim>) -> (Vec<KnownClaim>, Option<NextPage>) {
    let mut page = Vec::new();
    let mut bytes = 0;
    for claim in claims {
        let answer = claim.outcome.as_ref().map_or(0, RecordedOutcome::size);
        bytes += MAX_CLAIM_BYTES + answer;
        if bytes > MAX_PAGE_BYTES && !page.is_empty() {
            return (page, Some(NextPage(claim.key)));
        }
        page.push(claim);
    }
    (page, None)
}
