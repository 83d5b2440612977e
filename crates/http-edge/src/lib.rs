//! Guarded HTTP/1.1 server towards callers and guarded HTTP/1.1 client towards targets.
//!
//! - [`server`]: accept loop, connections, drain; handlers are `tide` applications.
//! - [`client`]: pooled connections to targets, with time limits and typed failures.
//! - [`problem`]: errors as `application/problem+json` (RFC 9457).
//! - [`framing`]: the message body framing that both halves share.
//! - [`raw_target`]: the request target as the caller sent it.
//! - [`keepalive`]: detects connections that went silent.
//! - [`signal`]: a one-way flag that can be awaited.
//!
//! Both halves parse heads with `httparse` and decode bodies with [`framing`]; answers to callers are encoded by
//! `async-h1`. The decoders of `async-h1` are not used: they take truncated bodies for complete ones, read past the
//! end of a message and limit the head to 8 KiB, and a wrapper that corrects this has to parse the head and follow the
//! body framing itself.

pub mod client;
pub mod framing;
pub mod keepalive;
pub mod problem;
pub mod raw_target;
pub mod server;
pub mod signal;
mod timer;
