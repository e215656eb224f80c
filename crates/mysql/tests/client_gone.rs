//! MySQL clients that leave behind a command that nobody has read yet: their statement is not sent again.

mod common;

use common::{CLIENT, OWN, Proxy};
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

/// A way to the proxy that, when told, puts in one more command and ends, as a client does that leaves.
struct Way {
    address: SocketAddr,
    leave: Sender<()>,
    left: Receiver<()>,
}

impl Way {
    fn to(proxy: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let ((leave, told), (tell, left)) = (channel(), channel());
        std::thread::spawn(move || {
            let (client, _) = listener.accept().unwrap();
            let to = TcpStream::connect(proxy).unwrap();
            let copies = [(client.try_clone(), to.try_clone()), (to.try_clone(), client.try_clone())];
            for (from, to) in copies {
                let (mut from, mut to) = (from.unwrap(), to.unwrap());
                std::thread::spawn(move || {
                    let mut space = [0; 4096];
                    while let Ok(read @ 1..) = from.read(&mut space) {
                        if to.write_all(&space[..read]).is_err() {
                            return;
                        }
                    }
                });
            }
            told.recv().unwrap();
            (&to).write_all(&PING).unwrap();
            to.shutdown(Shutdown::Write).unwrap();
            client.shutdown(Shutdown::Both).unwrap();
            tell.send(()).unwrap();
        });
        Self { address, leave, left }
    }
}

#[test]
fn a_statement_whose_client_has_left_behind_another_command_is_not_sent_again() {
    let stalls = || {
        MySqlServer::start(OWN, |asked| {
            let rows = Reply::Rows(vec!["1"], vec![]);
            if asked.text == TEXT { Reply::Stalled(0, Box::new(rows)) } else { rows }
        })
    };
    let servers = [stalls(), stalls()];
    let counted = || servers.iter().map(|server| server.count_statements(TEXT)).sum::<usize>();
    let proxy = Proxy::before(&[&servers[0], &servers[1]]);
    let way = Way::to(proxy.address);
    let address = way.address;
    let client = std::thread::spawn(move || {
        let mut client = common::client(address, "planner", CLIENT).expect("it logs in");
        client.query_drop(TEXT).expect_err("its connection ends");
    });
    wait_for("statement", || counted() == 1);
    way.leave.send(()).unwrap();
    way.left.recv().unwrap();
    client.join().expect("the client ends");
    // By then every timer of it has fired: its class has 3 s.
    std::thread::sleep(Duration::from_millis(3200));
    assert_eq!(counted(), 1, "sent for nobody");
}
