//! Trial of suspect parts, each on a server of its own.

use std::time::Duration;

use apricothall_types::{MemberId, PromptPart};

use crate::rank::weight;

/// Time for which a server has been writing on a request after which the request is no cause of its
/// crash.
const BEGIN_TIME: Duration = Duration::from_secs(1);

/// Whether a request that a server had been writing on for `written` may have crashed it. `None`
/// means that no event had arrived.
#[must_use]
pub fn is_beginning(written: Option<Duration>) -> bool {
    written.is_none_or(|written| written < BEGIN_TIME)
}

/// Server on which requests with `part` are tried, of those in `servers`. It is the same at all
/// entries that know of the same servers.
#[must_use]
pub fn trial_server<'a>(
    part: &PromptPart,
    servers: impl IntoIterator<Item = &'a MemberId>,
) -> Option<&'a MemberId> {
    first_ranked(part, servers)
}

/// Whether the entry `own` is the one of `entries`, which may include it, that tries a strong
/// suspect for all. Others refuse its requests meanwhile, so that few more servers crash.
#[must_use]
pub fn is_designated<'a>(
    part: &PromptPart,
    own: &MemberId,
    entries: impl IntoIterator<Item = &'a MemberId>,
) -> bool {
    let first = first_ranked(part, entries);
    first.is_none_or(|first| rank(part, own) >= rank(part, first))
}

fn first_ranked<'a>(
    part: &PromptPart,
    members: impl IntoIterator<Item = &'a MemberId>,
) -> Option<&'a MemberId> {
    members.into_iter().max_by_key(|id| rank(part, id))
}

/// Rank of a member for a part, the same at all daemons; the highest is chosen.
fn rank<'a>(part: &PromptPart, member: &'a MemberId) -> (u64, &'a MemberId) {
    (weight(part.to_string().as_bytes(), member), member)
}
