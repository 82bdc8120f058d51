//! The gossip message and an upper bound on its encoded size.

use std::net::SocketAddr;

use apricothall_types::{Holding, Incarnation, Member, MemberId, MemberState, Revision, Sequence};
use serde::{Deserialize, Serialize};

/// Bound on the encoded size of a 64-bit integer, in bytes.
const INT_BYTES: usize = 9;
/// Bound on the encoded size of an address, in bytes.
const ADDRESS_BYTES: usize = 20;
/// Lower bound on the size assumed for a record or verdict, in bytes.
pub(super) const MIN_BYTES: usize = 2 * INT_BYTES + TAG_BYTES;
/// Bound on the encoded size of an IPv4 address with its port, in bytes.
const V4_BYTES: usize = 8;
/// Bound on the encoded size of a tag or a short length, in bytes.
const TAG_BYTES: usize = 3;

/// Liveness judgement on a member that does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Opinion {
    /// Neither the direct nor the indirect probes were answered.
    Suspect,
    /// The suspicion was not refuted in time.
    Gone,
}

/// An opinion on a specific record of a member. A record with a higher sequence number or
/// incarnation refutes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The member.
    pub id: MemberId,
    /// Incarnation of the record.
    pub incarnation: Incarnation,
    /// Sequence of the record.
    pub sequence: Sequence,
    /// The opinion.
    pub opinion: Opinion,
}

/// The fields of a record that can change within an incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The member.
    pub id: MemberId,
    /// Incarnation of the record.
    pub incarnation: Incarnation,
    /// Sequence of the record.
    pub sequence: Sequence,
    /// State of the member.
    pub state: MemberState,
    /// Address for callers; set once an entry listens on it.
    pub public: Option<SocketAddr>,
    /// Versions held.
    pub holdings: Vec<Holding>,
}

impl Change {
    /// The changing fields of `member`.
    pub(super) fn of(member: &Member) -> Self {
        Self {
            id: member.id.clone(),
            incarnation: member.incarnation,
            sequence: member.sequence,
            state: member.state,
            public: member.public,
            holdings: member.holdings.clone(),
        }
    }

    /// Returns `known` with the change applied, or `None` if it is of another incarnation.
    pub(super) fn apply(&self, known: &Member) -> Option<Member> {
        if known.incarnation != self.incarnation {
            return None;
        }
        Some(Member {
            sequence: self.sequence,
            state: self.state,
            public: self.public,
            holdings: self.holdings.clone(),
            ..known.clone()
        })
    }
}

/// Id and address of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// The member.
    pub id: MemberId,
    /// Its address for other daemons.
    pub address: SocketAddr,
}

/// Acknowledgement by a helper that a member answered its indirect probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndirectAck {
    /// The member that answered.
    pub id: MemberId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Sums of a range of buckets of the sender's view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// First bucket.
    pub start: u16,
    /// Sum of each bucket, four bytes each, little-endian.
    pub sums: Vec<u8>,
    /// Whether the sender's view is far behind and a larger reply is requested.
    pub bulk: bool,
}

/// Revision of a published value in force at the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Subject number, assigned by the daemons' protocol.
    pub subject: u8,
    /// Revision in force.
    pub revision: Revision,
    /// First bytes of the digest of the value.
    pub mark: u64,
}

/// A message section that belongs to another module.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extra {
    /// Section kind, assigned by the daemons' protocol.
    pub kind: u8,
    /// Encoded content.
    pub data: Vec<u8>,
}

/// A gossip message. Requests and replies have the same form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender's own record.
    pub own: Member,
    /// Revisions in force at the sender.
    pub heads: Vec<Head>,
    /// Revision of the VM list that marks the recipient as leaving.
    pub sign: Option<Revision>,
    /// Records of members.
    pub records: Vec<Member>,
    /// Changed fields of records that most members already hold.
    pub changes: Vec<Change>,
    /// Opinions on members.
    pub verdicts: Vec<Verdict>,
    /// A member that the recipient should probe on behalf of the sender.
    pub ask: Option<Contact>,
    /// Members that answered the sender's indirect probes for the recipient.
    pub vouches: Vec<IndirectAck>,
    /// Part of the digest of the sender's view; requests only.
    pub window: Option<Window>,
    /// Sections of other modules.
    pub extras: Vec<Extra>,
}

impl GossipMessage {
    /// Whether the message carries only the sender's own record. The reply then carries only the
    /// recipient's.
    pub(super) fn is_announcement(&self) -> bool {
        let updates = self.records.len() + self.changes.len() + self.verdicts.len();
        self.window.is_none() && self.ask.is_none() && self.vouches.is_empty() && updates == 0
    }
}

/// A message to send. Pass the reply to [`Membership::receive_reply`] and a failure to
/// [`Membership::probe_failed`].
///
/// [`Membership::receive_reply`]: super::Membership::receive_reply
/// [`Membership::probe_failed`]: super::Membership::probe_failed
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The recipient; `None` for a seed address.
    pub target: Option<MemberId>,
    /// Address of the recipient.
    pub address: SocketAddr,
    /// The message.
    pub message: GossipMessage,
}

/// Bound on the encoded size of `value` as a variable-length integer, in bytes.
fn int_size(value: u64) -> usize {
    match value {
        0..=250 => 1,
        251..=0xffff => 3,
        0x1_0000..=0xffff_ffff => 5,
        _ => INT_BYTES,
    }
}

fn address_size(address: SocketAddr) -> usize {
    if address.is_ipv4() {
        return V4_BYTES;
    }
    ADDRESS_BYTES
}

fn holdings_size(holdings: &[Holding]) -> usize {
    let texts = holdings
        .iter()
        .map(|h| h.name.as_str().len() + h.version.as_str().len() + TAG_BYTES);
    texts.sum::<usize>() + TAG_BYTES
}

/// Bound on the encoded size of `change`, in bytes.
pub(super) fn change_size(change: &Change) -> usize {
    let counters = int_size(change.incarnation.0) + int_size(change.sequence.0);
    let public = change.public.map_or(0, address_size) + 1;
    change.id.as_str().len() + 1 + counters + 1 + public + holdings_size(&change.holdings)
}

/// Bound on the encoded size of `member`, in bytes.
pub(super) fn member_size(member: &Member) -> usize {
    let holdings = holdings_size(&member.holdings);
    let texts = [
        member.id.as_str(),
        member.region.as_str(),
        member.zone.as_str(),
    ];
    let texts: usize = texts.iter().map(|t| t.len() + 1).sum();
    let public = member.public.map_or(0, address_size) + 1;
    let counters =
        int_size(member.incarnation.0) + int_size(member.sequence.0) + int_size(member.revision.0);
    texts + counters + address_size(member.address) + public + 2 + holdings
}

/// Bound on the encoded size of a verdict on `id`, in bytes.
pub(super) fn verdict_size(id: &MemberId) -> usize {
    id.as_str().len() + 2 * INT_BYTES + TAG_BYTES
}

/// Bound on the encoded size of `message`, in bytes.
#[must_use]
pub fn size_bound(message: &GossipMessage) -> usize {
    let records: usize = message.records.iter().map(member_size).sum();
    let changes: usize = message.changes.iter().map(change_size).sum();
    let verdicts: usize = message.verdicts.iter().map(|v| verdict_size(&v.id)).sum();
    let ask = message
        .ask
        .as_ref()
        .map_or(0, |c| c.id.as_str().len() + TAG_BYTES + ADDRESS_BYTES);
    let vouches: usize = message
        .vouches
        .iter()
        .map(|v| v.id.as_str().len() + INT_BYTES + TAG_BYTES)
        .sum();
    let window = message
        .window
        .as_ref()
        .map_or(0, |w| w.sums.len() + 3 * TAG_BYTES);
    let extras: usize = message.extras.iter().map(extra_size).sum();
    let heads = message.heads.len() * (2 * INT_BYTES + 1);
    let frame = 9 * TAG_BYTES + INT_BYTES;
    let updates = records + changes + verdicts;
    member_size(&message.own) + heads + updates + ask + vouches + window + extras + frame
}

/// Bound on the encoded size of `extra`, in bytes.
pub(super) fn extra_size(extra: &Extra) -> usize {
    extra.data.len() + TAG_BYTES + 1
}
