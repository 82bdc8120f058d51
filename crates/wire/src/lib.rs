//! Protocol between daemons: `h2` streams of `bincode` frames, and `tarpc` for RPCs.
//!
//! Each daemon listens on one TCP port. The headers of a stream carry its path and the protocol
//! version; a peer with another version is refused and told the supported one.

pub mod answer;
pub mod chunk;
pub mod client;
pub mod codec;
pub mod error;
pub mod io;
pub mod order;
pub mod payload;
pub mod peer;
pub mod server;

pub use answer::{Answer, AnswerFrame, Refusal};
pub use chunk::{ChunkFrame, ChunkQuery, ChunkRequest};
pub use client::{Connector, ConnectorConfig, TrafficClass};
pub use codec::{Channel, FrameCodec};
pub use error::WireError;
pub use order::{Binding, Call, Header, OnceCall, Order};
pub use payload::Payload;
pub use peer::{Published, PublishedText, Subject};
pub use server::{Incoming, serve};

/// Version of the protocol between daemons.
pub const PROTOCOL_VERSION: &str = "1";

/// Header that carries [`PROTOCOL_VERSION`].
pub const PROTOCOL_HEADER: &str = "x-apricothall-protocol";

/// Header that carries the trace of the request, as W3C `traceparent`.
pub const TRACE_HEADER: &str = "traceparent";

/// Path of streams that carry one order and its answer.
pub const RUN_PATH: &str = "/run";

/// Path of streams that carry one chunk of weights.
pub const CHUNK_PATH: &str = "/chunk";

/// Path of streams that carry a `tarpc` session.
pub const RPC_PATH: &str = "/rpc";

/// Path of streams on which entries exchange their demand and loans.
pub const DEMAND_PATH: &str = "/demand";
