//! Limits on connections and memory, derived from the resources of the process.

use crate::socket::MAX_READ_AHEAD_BYTES;
pub use gannetproxy::engine::{Budget, Permit};

/// Longest request or response body in bytes that is buffered whole.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Longest head of a request or a response in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Descriptors reserved for everything except client and backend connections.
const RESERVED_DESCRIPTORS: usize = 24;
/// Largest number of descriptors that is used, whatever the limit of the process.
const MAX_DESCRIPTORS: usize = 16 << 10;
/// Client heads, request bodies and backend responses may each use one part in this many of the memory.
const MEMORY_DIVISOR: usize = 4;

/// Limits on connections and on the memory for bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Largest number of client connections.
    pub client_connections: usize,
    /// Largest number of backend connections.
    pub backend_connections: usize,
    /// Largest total size in bytes of buffered request bodies.
    pub buffered_body_bytes: usize,
    /// Largest total size in bytes of streamed bodies.
    pub streamed_body_bytes: usize,
}

impl ResourceLimits {
    /// Returns these limits, halved if another process shares the resources.
    pub fn for_processes(self, is_shared: bool) -> Self {
        let share = |cap: usize| if is_shared { (cap / 2).max(1) } else { cap };
        let Self { client_connections, backend_connections, buffered_body_bytes, streamed_body_bytes } = self;
        let byte_share = |cap: usize| share(cap).max(MAX_BUFFERED_BODY_BYTES);
        Self {
            client_connections: share(client_connections),
            backend_connections: share(backend_connections),
            buffered_body_bytes: byte_share(buffered_body_bytes),
            streamed_body_bytes: byte_share(streamed_body_bytes),
        }
    }

    /// Derives the limits from a number of descriptors and of bytes of memory. Clients get the larger share
    /// of the descriptors, because idle connections are among theirs.
    pub fn new(descriptors: usize, memory: usize) -> Self {
        let descriptors = descriptors.min(MAX_DESCRIPTORS).saturating_sub(RESERVED_DESCRIPTORS);
        let memory_share = memory / MEMORY_DIVISOR;
        Self {
            client_connections: (descriptors * 3 / 5)
                .min(memory_share / (MAX_HEAD_BYTES + MAX_READ_AHEAD_BYTES))
                .max(1),
            backend_connections: (descriptors * 2 / 5)
                .min(memory_share / (MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES))
                .max(1),
            buffered_body_bytes: (memory_share / 2).max(MAX_BUFFERED_BODY_BYTES),
            streamed_body_bytes: (memory_share * 3 / 4).max(MAX_BUFFERED_BODY_BYTES),
        }
    }
}
