//! Parts of prompts that crash each server which begins to write on them.
//!
//! Requests that share such a part have nothing else in common, so the crash records of whole
//! requests do not tell it. Crashes are therefore also recorded by part, in the same
//! [`Records`](crate::quarantine::Records) that entries share by gossip:
//!
//! - A crash counts against the parts of each request that its server had not been writing on for
//!   long ([`is_beginning`]). A complete answer clears all parts of its request.
//! - A request with a suspect is sent to one server, which is the same for all entries
//!   ([`trial_server`]). Suspects thereby occupy few servers, different suspects mostly different
//!   ones, and a sound one is soon cleared there.
//! - A strong suspect, which has as many crashes as condemn but not a verdict, is tried by one entry
//!   for all ([`is_designated`]). The others refuse its requests for now.
//! - A part is condemned after several crashes, one of them during its trial, unless another
//!   condemned part explains them ([`Verdicts`]). Requests with it are refused by all entries.
//!
//! A part that requests were answered with before ([`AnsweredParts`]) needs more evidence, so that
//! a common part is not blamed for being present at most crashes.

mod answered;
mod report;
mod suspects;
mod trial;
mod verdicts;

pub use answered::AnsweredParts;
pub use report::{AnsweredSuspects, PartReport};
pub use suspects::{PartStanding, SuspectParts, Trial, VerdictChange};
pub use trial::{is_beginning, is_designated, trial_server};
pub use verdicts::{Assessment, Verdicts};
