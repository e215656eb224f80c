//! A mock backend on which connections come up late.

use socket2::{Domain, SockRef, Socket, Type};
use std::net::{SocketAddr, TcpListener};

/// Number of connects of the backend itself, which fill the accept queue and compete for it.
pub const FILLERS: usize = 4;

/// Size of the accept queue of an open backend.
const OPEN_BACKLOG: i32 = 128;

/// A backend whose accept queue is full. The operating system repeats a connect to it after 1 s and after 3 s.
pub struct LateBackend {
    /// Address on which it listens.
    pub address: SocketAddr,
    listener: TcpListener,
    fillers: Vec<Socket>,
}

impl LateBackend {
    /// Starts a backend that completes no new connect.
    pub fn start() -> Self {
        let new_socket = || Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let socket = new_socket();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        socket.listen(0).expect("a bound socket");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("the address of a bound socket");
        let fill = |_| {
            let filler = new_socket();
            filler.set_nonblocking(true).expect("an open socket");
            let _ = filler.connect(&address.into()); // queued or pending
            filler
        };
        Self { address, listener, fillers: (0..FILLERS).map(fill).collect() }
    }

    /// Returns the listener once its own connects no longer compete for the accept queue, and connects that wait in
    /// the operating system come up at their next repetition.
    pub fn open(self) -> TcpListener {
        drop(self.fillers);
        SockRef::from(&self.listener).listen(OPEN_BACKLOG).expect("a bound socket");
        self.listener
    }
}
