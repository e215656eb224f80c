//! A client that disconnects while another command of it is unread: its open statement is not retried.

mod common;

use common::{CLIENT_PASSWORD, Proxy, SERVER_PASSWORD};
use dewpier_standins::mysql::{MySqlServer, Reply};
use dewpier_standins::wait_for;
use mysql::prelude::Queryable;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

const TEXT: &str = "SELECT 1 FROM t";
/// COM_PING, as a packet.
const PING: [u8; 5] = [1, 0, 0, 0, 0x0e];

/// A relay to the proxy that, on request, sends one more command and disconnects.
struct DisconnectingRelay {
    address: SocketAddr,
    disconnect: Sender<()>,
    disconnected: Receiver<()>,
}

impl DisconnectingRelay {
    fn start(proxy: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let ((disconnect, disconnect_requested), (report, disconnected)) = (channel(), channel());
        std::thread::spawn(move || {
            let (client, _) = listener.accept().unwrap();
            let server = TcpStream::connect(proxy).unwrap();
            let copies = [(client.try_clone(), server.try_clone()), (server.try_clone(), client.try_clone())];
            for (from, to) in copies {
                let (mut from, mut to) = (from.unwrap(), to.unwrap());
                std::thread::spawn(move || {
                    let mut buffer = [0; 4096];
                    while let Ok(read @ 1..) = from.read(&mut buffer) {
                        if to.write_all(&buffer[..read]).is_err() {
                            return;
                        }
                    }
                });
            }
            disconnect_requested.recv().unwrap();
            (&server).write_all(&PING).unwrap();
            server.shutdown(Shutdown::Write).unwrap();
            client.shutdown(Shutdown::Both).unwrap();
            report.send(()).unwrap();
        });
        Self { address, disconnect, disconnected }
    }
}

#[test]
fn statement_is_not_retried_after_client_disconnects_behind_unread_command() {
    let stalling_server = || {
        MySqlServer::start(SERVER_PASSWORD, |statement| {
            let rows = Reply::Rows(vec!["1"], vec![]);
            if statement.text == TEXT { Reply::Stalled(0, Box::new(rows)) } else { rows }
        })
    };
    let servers = [stalling_server(), stalling_server()];
    let statement_count = || servers.iter().map(|server| server.count_statements(TEXT)).sum::<usize>();
    let proxy = Proxy::start(&[&servers[0], &servers[1]]);
    let relay = DisconnectingRelay::start(proxy.address);
    let address = relay.address;
    let client = std::thread::spawn(move || {
        let mut client =
            common::connect_client(address, "planner", CLIENT_PASSWORD).expect("the login succeeds");
        client.query_drop(TEXT).expect_err("the connection ends");
    });
    wait_for("statement", || statement_count() == 1);
    relay.disconnect.send(()).unwrap();
    relay.disconnected.recv().unwrap();
    client.join().expect("the client ends");
    // Longer than the deadline of 3 s, so that every timer of the request has fired.
    std::thread::sleep(Duration::from_millis(3200));
    assert_eq!(statement_count(), 1, "retried for a disconnected client");
}
