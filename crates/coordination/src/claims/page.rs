//! Records in parts that fit into one datagram each.

use lifthollow_protocol::{KnownClaim, NextPage, RecordedOutcome};

/// Upper bound of the claims in one page in bytes, beyond the first.
const MAX_PAGE_BYTES: usize = 900;
/// Encoded size of a claim without its recorded answer, in bytes, at most.
const MAX_CLAIM_BYTES: usize = 56;

/// Takes the claims of one page, and tells where the next page begins.
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
