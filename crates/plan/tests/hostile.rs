//! Peers on sockets that send malformed, oversized, unexpected or outdated messages: the messages are
//! rejected and counted, nothing changes, and well-behaved peers are not affected.

#[path = "common/planner.rs"]
mod common;

use dewpier_plan::io::{FollowEvent, FollowSettings, Planner, Security, follow};
use dewpier_plan::wire::{read_forwarder_message, write_forwarder_message, write_planner_message};
use dewpier_plan::{
    AnnouncementVersion, Delta, Digest, Follower, ForwarderMessage, LeaseState, MAX_DIGEST_NODES,
    MessageRejection, Node, NodeCounts, Plan, PlannerMessage, Version,
};
use dewpier_standins::{WAIT_TIMEOUT, wait_for};
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};

fn node(id: &str, weight: f64) -> Node {
    Node {
        id: id.into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".into(),
        cell: 1,
        weight,
        draining: false,
        age_ms: None,
    }
}

fn plan(generation: u64, ids: &[&str]) -> Plan {
    let nodes = ids.iter().map(|id| node(id, 1.0)).collect();
    Plan { version: Version { term: 1, generation }, nodes, acknowledged: Vec::new() }
}

fn digest(nodes: usize, served: u32) -> Digest {
    let counts = |i: usize| NodeCounts { id: format!("n{i}"), sent: served, served, ..NodeCounts::default() };
    Digest { interval_ms: 1000, nodes: (0..nodes).map(counts).collect(), other_served: 0 }
}

fn hello() -> Vec<u8> {
    write_forwarder_message(&ForwarderMessage::Hello {
        name: "f".into(),
        plan_version: None,
        slice_size: None,
    })
}

/// State of a follower, read from another thread.
#[derive(Clone, Debug, Default, PartialEq)]
struct FollowerView {
    version: Option<Version>,
    nodes: Vec<String>,
    announced_drains: Vec<String>,
    is_leased: bool,
    rejections: std::collections::HashMap<MessageRejection, u64>,
}

/// A follower on its own thread; it ends when this value is dropped.
struct FollowerThread {
    view: Arc<Mutex<FollowerView>>,
    _stop: oneshot::Sender<()>,
}

impl FollowerThread {
    fn start(planner: SocketAddr) -> Self {
        let view = Arc::new(Mutex::new(FollowerView::default()));
        let (stop, stopped) = oneshot::channel::<()>();
        let shared_view = view.clone();
        std::thread::spawn(move || {
            let start = Instant::now();
            let settings = FollowSettings {
                planners: vec![planner],
                name: "good".into(),
                heartbeat_interval: Duration::from_millis(20),
                start,
                security: Security::plain(),
            };
            let on_event = move |follower: &Follower, _: FollowEvent| {
                *shared_view.lock().unwrap() = FollowerView {
                    version: follower.version(),
                    nodes: follower.nodes().into_iter().map(|n| n.id).collect(),
                    announced_drains: follower.announced_drains().cloned().collect(),
                    is_leased: follower.lease_state(start.elapsed()) == LeaseState::Leased,
                    rejections: follower.rejections().clone(),
                };
            };
            let (_digest_sender, digest_receiver) = watch::channel(Digest::default());
            let follower = Rc::new(RefCell::new(Follower::default()));
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                tokio::select! {
                    () = follow(settings, follower, digest_receiver, None, on_event) => {}
                    _ = stopped => {}
                }
            });
        });
        Self { view, _stop: stop }
    }

    fn view(&self) -> FollowerView {
        self.view.lock().unwrap().clone()
    }

    fn rejections(&self, reason: MessageRejection) -> u64 {
        self.view().rejections.get(&reason).copied().unwrap_or(0)
    }
}

fn planner(max_followers: usize) -> (Arc<Planner>, SocketAddr) {
    common::planner(max_followers, plan(5, &["a", "b", "c"]))
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
}

/// Sends the bytes and reads until the other side closes the connection; panics if it stays open.
fn send_until_closed(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = connect(address);
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    match stream.read_to_end(&mut answer) {
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
            panic!("the connection stays open after {bytes:?}")
        }
        _ => answer,
    }
}

#[test]
fn planner_rejects_and_counts_invalid_input() {
    let (planner, address) = planner(16);
    let good = FollowerThread::start(address);
    wait_for("plan", || good.view().is_leased);
    let before = good.view();
    let frame = |bytes: &[u8]| [&(bytes.len() as u32).to_le_bytes()[..], bytes].concat();
    let heartbeat = write_forwarder_message(&ForwarderMessage::Heartbeat { number: 1 });
    let scripts: [(&str, Vec<u8>); 8] = [
        ("a frame of 4 GiB", u32::MAX.to_le_bytes().to_vec()),
        ("a frame of 33 KiB", (33u32 << 10).to_le_bytes().to_vec()),
        ("not a message", frame(&[0xff; 40])),
        ("a request of another protocol", b"GET / HTTP/1.1\r\nHost: planner\r\n\r\n".to_vec()),
        ("a heartbeat before the hello", heartbeat.clone()),
        ("two hellos", [hello(), hello()].concat()),
        (
            "too many nodes",
            [hello(), write_forwarder_message(&ForwarderMessage::Digest(digest(MAX_DIGEST_NODES + 1, 1)))]
                .concat(),
        ),
        ("not a message after a heartbeat", [hello(), heartbeat, frame(&[0x0f; 9])].concat()),
    ];
    for (i, (what, bytes)) in scripts.iter().enumerate() {
        send_until_closed(address, bytes);
        wait_for(what, || planner.rejected_connections() == i as u64 + 1);
    }
    wait_for("one remaining connection", || planner.follower_count() == 1);
    assert_eq!(planner.version(), Version { term: 1, generation: 5 });
    assert_eq!((good.view().version, good.view().nodes), (before.version, before.nodes));
    wait_for("a lease", || good.view().is_leased);
    assert_eq!(good.view().rejections, before.rejections);
}

#[test]
fn replayed_connection_changes_no_plan_and_its_digest_ends_with_it() {
    let (planner, address) = planner(16);
    let recorded = [
        hello(),
        write_forwarder_message(&ForwarderMessage::Digest(digest(4, 50))),
        write_forwarder_message(&ForwarderMessage::Heartbeat { number: 7 }),
    ];
    let recorded = recorded.concat();
    let mut first = connect(address);
    first.write_all(&recorded).unwrap();
    wait_for("digest", || planner.total_rate() == 200.0);
    let mut replay = connect(address);
    replay.write_all(&recorded).unwrap();
    wait_for("digest of the replay", || planner.total_rate() == 400.0);
    drop(replay);
    wait_for("end of the replay", || planner.total_rate() == 200.0 && planner.follower_count() == 1);
    assert_eq!(planner.version(), Version { term: 1, generation: 5 });
    drop(first);
    wait_for("no connections", || planner.total_rate() == 0.0 && planner.follower_count() == 0);
}

#[test]
fn connections_over_the_limit_are_closed_and_silent_ones_free_their_places() {
    let (planner, address) = planner(3);
    let good = FollowerThread::start(address);
    wait_for("plan", || good.view().is_leased);
    let silent: Vec<TcpStream> = (0..2).map(|_| connect(address)).collect();
    wait_for("three connections", || planner.follower_count() == 3);
    assert_eq!(send_until_closed(address, &hello()), b"", "connection over the limit");
    // The silent connections never send a hello, and their places are freed.
    wait_for("free places", || planner.follower_count() == 1);
    let mut next = connect(address);
    next.write_all(&hello()).unwrap();
    let mut length = [0; 4];
    next.read_exact(&mut length).unwrap();
    assert!(u32::from_le_bytes(length) > 0, "expected the plan");
    drop(silent);
}

#[test]
fn forwarder_rejects_and_counts_invalid_planner_messages() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let version = AnnouncementVersion { epoch: 3, sequence: 2 };
    let drain = |announcement_version| {
        write_planner_message(&PlannerMessage::Drain { planner: 0, announcement_version, id: "b".into() })
    };
    let full = |p: Plan| write_planner_message(&PlannerMessage::Full(p));
    let delta = Delta {
        from: Version { term: 1, generation: 90 },
        to: Version { term: 1, generation: 91 },
        gone: vec!["a".into()],
        ..Delta::default()
    };
    let unsolicited_reply = PlannerMessage::HeartbeatReply {
        number: 999_999,
        version: Version { term: 1, generation: 5 },
        lease_ms: 5000,
        max_lease_ms: 5000,
    };
    let mut weightless = plan(9, &["a"]);
    weightless.nodes[0].weight = 0.0;
    // Each script runs on its own connection and ends with a message that makes the forwarder disconnect, or
    // with the end of the connection.
    let scripts: [Vec<Vec<u8>>; 4] = [
        vec![
            full(plan(5, &["a", "b", "c"])),
            drain(version),
            full(plan(4, &["x"])),
            full(plan(5, &["x"])),
            drain(version),
            drain(AnnouncementVersion { epoch: 2, sequence: 9 }),
            write_planner_message(&PlannerMessage::Delta(delta)),
            write_planner_message(&unsolicited_reply),
        ],
        vec![vec![4, 0, 0, 0, 0xff, 0xff, 0xff, 0xff]],
        vec![((9u32 << 20).to_le_bytes()).to_vec()],
        vec![full(weightless)],
    ];
    let planner = std::thread::spawn(move || {
        let mut hellos = Vec::new();
        for (i, script) in scripts.into_iter().enumerate() {
            let (mut stream, _) = listener.accept().unwrap();
            stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
            let mut length = [0; 4];
            stream.read_exact(&mut length).unwrap();
            let mut bytes = vec![0; u32::from_le_bytes(length) as usize];
            stream.read_exact(&mut bytes).unwrap();
            hellos.push(read_forwarder_message(&bytes).unwrap());
            script.iter().for_each(|bytes| stream.write_all(bytes).unwrap());
            if i == 0 {
                stream.shutdown(Shutdown::Write).unwrap();
            }
            // Closing with unread heartbeats would reset the connection and discard sent data.
            let _ = stream.read_to_end(&mut Vec::new());
        }
        hellos
    });
    let forwarder = FollowerThread::start(address);
    wait_for("three unreadable messages", || forwarder.rejections(MessageRejection::Unreadable) == 3);
    let hellos = planner.join().unwrap();
    let version = Version { term: 1, generation: 5 };
    assert_eq!(
        hellos[0],
        ForwarderMessage::Hello { name: "good".into(), plan_version: None, slice_size: None }
    );
    let later_hello =
        ForwarderMessage::Hello { name: "good".into(), plan_version: Some(version), slice_size: None };
    assert!(hellos[1..].iter().all(|a| *a == later_hello), "{hellos:?}");
    let view = forwarder.view();
    assert_eq!(
        (view.version, view.nodes, view.announced_drains),
        (Some(version), ["a", "b", "c"].map(String::from).into(), vec!["b".to_string()])
    );
    assert!(!view.is_leased, "no heartbeat was answered");
    assert_eq!(
        (
            forwarder.rejections(MessageRejection::Outdated),
            forwarder.rejections(MessageRejection::Unsolicited)
        ),
        (4, 1)
    );
}
