//! HTTP/1.1 server for callers and HTTP/1.1 client for targets, both with size limits and time limits.
//!
//! - [`server`]: accept loop, connections and drain; handlers are `tide` applications.
//! - [`client`]: pooled connections to targets, with time limits and typed failures.
//! - [`problem`]: error answers as `application/problem+json` (RFC 9457).
//! - [`framing`]: message body framing, used by the server and the client.
//! - [`memory`]: bounds the memory that callers can make the process hold.
//! - [`raw_target`]: the request target as the caller sent it.
//! - [`keepalive`]: TCP keepalive, which breaks connections whose other end no longer answers.
//! - [`signal`]: a one-way flag that can be awaited.
//! - [`status`]: status codes as they are on the wire.
//!
//! Server and client parse heads with `httparse` and decode bodies with [`framing`]; answers to callers are encoded by
//! `async-h1`. The decoders of `async-h1` are not used: they accept truncated bodies as complete, read past the end of
//! a message and limit the head to 8 KiB. A wrapper that corrects this would have to parse the head and follow the body
//! framing itself.

pub mod client;
pub mod framing;
pub mod keepalive;
pub mod memory;
pub mod problem;
pub mod raw_target;
pub mod server;
pub mod signal;
pub mod status;
mod timer;
