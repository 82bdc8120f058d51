//! Value types shared by every package of apricothall.
//!
//! Nothing here does I/O or reads a clock. Each id, size and rate is a newtype with `Display`
//! and `FromStr`, so that settings, logs and the command line all use the same notation.

pub mod catalogue;
pub mod digest;
pub mod ids;
pub mod manifest;
pub mod member;
pub mod numbers;
pub mod outcome;
pub mod prompt_part;
pub mod quota;
pub mod size;
pub mod store_revision;
pub mod time;
pub mod tokens;
pub mod vms;

pub use catalogue::{
    CallerLimit, Catalogue, CatalogueEntry, Class, EntryKind, Limits, ModelVersion, PromptCache,
};
pub use catalogue::{CatalogueError, TransferObjective};
pub use digest::Digest;
pub use ids::{CallerId, EntryName, IdempotencyKey, MemberId, Owner, Region, TextError, Version};
pub use ids::{PartId, RequestId, Zone};
pub use manifest::Manifest;
pub use member::{Holding, HoldingState, Load, Member, MemberState, Role};
pub use numbers::{ChunkIndex, Era, Fence, Incarnation, Revision, Sequence};
pub use outcome::Outcome;
pub use prompt_part::PromptPart;
pub use quota::{Quota, QuotaError};
pub use size::{Bytes, Rate};
pub use store_revision::{ConfigurationRevision, StoreRevision, StoreRevisionError};
pub use time::{Interval, Timestamp, WallTime};
pub use tokens::{TokenCount, TokenCountError};
pub use vms::{Vm, VmList, VmState};
