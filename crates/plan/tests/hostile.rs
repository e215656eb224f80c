//! Peers on sockets who say what is malformed, too long, out of turn or old: it is refused and counted,
//! nothing changes, and those who keep to the protocol notice nothing.

#[path = "common/planner.rs"]
mod common;

use dewpier_plan::io::{FollowEvent, FollowSettings, Planner, Security, follow};
use dewpier_plan::wire::{read_forwarder_message, write_forwarder_message, write_planner_message};
use dewpier_plan::{
    AnnouncementVersion, Counts, Delta, Digest, Follower, ForwarderMessage, LeaseState, MAX_DIGEST_NODES,
    MessageRejection, Node, Plan, PlannerMessage, Version,
};
use dewpier_standins::{LONG, wait_for};
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
    let counts = |i: usize| Counts { id: format!("n{i}"), sent: served, served, ..Counts::default() };
    Digest { interval_ms: 1000, nodes: (0..nodes).map(counts).collect(), other_served: 0 }
}

fn hello() -> Vec<u8> {
    write_forwarder_message(&ForwarderMessage::Hello {
        name: "f".into(),
        plan_version: None,
        slice_size: None,
    })
}

/// What a follower has, as another thread sees it.
#[derive(Clone, Debug, Default, PartialEq)]
struct Has {
    version: Option<Version>,
    nodes: Vec<String>,
    drained: Vec<String>,
    leased: bool,
    refused: std::collections::HashMap<MessageRejection, u64>,
}

/// A follower on a thread of its own, for as long as this is kept.
struct Followed {
    has: Arc<Mutex<Has>>,
    _over: oneshot::Sender<()>,
}

impl Followed {
    fn start(planner: SocketAddr) -> Self {
        let has = Arc::new(Mutex::new(Has::default()));
        let (over, ends) = oneshot::channel::<()>();
        let seen = has.clone();
        std::thread::spawn(move || {
            let start = Instant::now();
            let following = FollowSettings {
                planners: vec![planner],
                name: "good".into(),
                heartbeat_interval: Duration::from_millis(20),
                start,
                security: Security::plain(),
            };
            let note = move |follower: &Follower, _: FollowEvent| {
                *seen.lock().unwrap() = Has {
                    version: follower.version(),
                    nodes: follower.nodes().into_iter().map(|n| n.id).collect(),
                    drained: follower.announced_drains().cloned().collect(),
                    leased: follower.lease_state(start.elapsed()) == LeaseState::Leased,
                    refused: follower.rejections().clone(),
                };
            };
            let (_digests, heard) = watch::channel(Digest::default());
            let follower = Rc::new(RefCell::new(Follower::default()));
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                tokio::select! {
                    () = follow(following, follower, heard, None, note) => {}
                    _ = ends => {}
                }
            });
        });
        Self { has, _over: over }
    }

    fn has(&self) -> Has {
        self.has.lock().unwrap().clone()
    }

    fn refused(&self, why: MessageRejection) -> u64 {
        self.has().refused.get(&why).copied().unwrap_or(0)
    }
}

fn planner(most: usize) -> (Arc<Planner>, SocketAddr) {
    common::planner(most, plan(5, &["a", "b", "c"]))
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream
}

/// Says that, and reads until the other side ends the connection, which it must.
fn until_ended(address: SocketAddr, says: &[u8]) -> Vec<u8> {
    let mut stream = connect(address);
    let _ = stream.write_all(says);
    let mut answer = Vec::new();
    match stream.read_to_end(&mut answer) {
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => panic!("it is kept: {says:?}"),
        _ => answer,
    }
}

#[test]
fn a_planner_refuses_and_counts_what_makes_no_sense() {
    let (planner, address) = planner(16);
    let good = Followed::start(address);
    wait_for("plan", || good.has().leased);
    let before = good.has();
    let framed = |bytes: &[u8]| [&(bytes.len() as u32).to_le_bytes()[..], bytes].concat();
    let beat = write_forwarder_message(&ForwarderMessage::Heartbeat { number: 1 });
    let scripts: [(&str, Vec<u8>); 8] = [
        ("a frame of 4 GiB", u32::MAX.to_le_bytes().to_vec()),
        ("a frame of 33 KiB", (33u32 << 10).to_le_bytes().to_vec()),
        ("no message", framed(&[0xff; 40])),
        ("a request of another protocol", b"GET / HTTP/1.1\r\nHost: planner\r\n\r\n".to_vec()),
        ("a beat before the hello", beat.clone()),
        ("two hellos", [hello(), hello()].concat()),
        (
            "too many nodes",
            [hello(), write_forwarder_message(&ForwarderMessage::Digest(digest(MAX_DIGEST_NODES + 1, 1)))]
                .concat(),
        ),
        ("no message later on", [hello(), beat, framed(&[0x0f; 9])].concat()),
    ];
    for (i, (what, says)) in scripts.iter().enumerate() {
        until_ended(address, says);
        wait_for(what, || planner.rejected_connections() == i as u64 + 1);
    }
    wait_for("end of all but one", || planner.follower_count() == 1);
    assert_eq!(planner.version(), Version { term: 1, generation: 5 });
    assert_eq!((good.has().version, good.has().nodes), (before.version, before.nodes));
    wait_for("a lease, still", || good.has().leased);
    assert_eq!(good.has().refused, before.refused);
}

#[test]
fn a_replayed_conversation_moves_nothing_and_is_forgotten_with_its_connection() {
    let (planner, address) = planner(16);
    let said = [
        hello(),
        write_forwarder_message(&ForwarderMessage::Digest(digest(4, 50))),
        write_forwarder_message(&ForwarderMessage::Heartbeat { number: 7 }),
    ];
    let said = said.concat();
    let mut first = connect(address);
    first.write_all(&said).unwrap();
    wait_for("digest", || planner.total_rate() == 200.0);
    let mut replay = connect(address);
    replay.write_all(&said).unwrap();
    wait_for("its own digest", || planner.total_rate() == 400.0);
    drop(replay);
    wait_for("end of the replay", || planner.total_rate() == 200.0 && planner.follower_count() == 1);
    assert_eq!(planner.version(), Version { term: 1, generation: 5 });
    drop(first);
    wait_for("nothing left", || planner.total_rate() == 0.0 && planner.follower_count() == 0);
}

#[test]
fn those_beyond_the_bound_are_not_let_in_and_the_silent_give_their_place_back() {
    let (planner, address) = planner(3);
    let good = Followed::start(address);
    wait_for("plan", || good.has().leased);
    let silent: Vec<TcpStream> = (0..2).map(|_| connect(address)).collect();
    wait_for("three", || planner.follower_count() == 3);
    assert_eq!(until_ended(address, &hello()), b"", "there is no room");
    // They never say who they are, and lose their places to one that does.
    wait_for("room again", || planner.follower_count() == 1);
    let mut next = connect(address);
    next.write_all(&hello()).unwrap();
    let mut length = [0; 4];
    next.read_exact(&mut length).unwrap();
    assert!(u32::from_le_bytes(length) > 0, "it is told the plan");
    drop(silent);
}

#[test]
fn a_forwarder_refuses_and_counts_what_a_planner_may_not_say() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mark = AnnouncementVersion { epoch: 3, sequence: 2 };
    let drain = |mark| {
        write_planner_message(&PlannerMessage::Drain {
            planner: 0,
            announcement_version: mark,
            id: "b".into(),
        })
    };
    let full = |p: Plan| write_planner_message(&PlannerMessage::Full(p));
    let delta = Delta {
        from: Version { term: 1, generation: 90 },
        to: Version { term: 1, generation: 91 },
        gone: vec!["a".into()],
        ..Delta::default()
    };
    let vouch = PlannerMessage::HeartbeatReply {
        number: 999_999,
        version: Version { term: 1, generation: 5 },
        lease_ms: 5000,
        max_lease_ms: 5000,
    };
    let mut weightless = plan(9, &["a"]);
    weightless.nodes[0].weight = 0.0;
    // One connection after another: each script ends with what makes the forwarder leave, or with the
    // connection's end.
    let scripts: [Vec<Vec<u8>>; 4] = [
        vec![
            full(plan(5, &["a", "b", "c"])),
            drain(mark),
            full(plan(4, &["x"])),
            full(plan(5, &["x"])),
            drain(mark),
            drain(AnnouncementVersion { epoch: 2, sequence: 9 }),
            write_planner_message(&PlannerMessage::Delta(delta)),
            write_planner_message(&vouch),
        ],
        vec![vec![4, 0, 0, 0, 0xff, 0xff, 0xff, 0xff]],
        vec![((9u32 << 20).to_le_bytes()).to_vec()],
        vec![full(weightless)],
    ];
    let planner = std::thread::spawn(move || {
        let mut asked = Vec::new();
        for (i, script) in scripts.into_iter().enumerate() {
            let (mut stream, _) = listener.accept().unwrap();
            stream.set_read_timeout(Some(LONG)).unwrap();
            let mut length = [0; 4];
            stream.read_exact(&mut length).unwrap();
            let mut bytes = vec![0; u32::from_le_bytes(length) as usize];
            stream.read_exact(&mut bytes).unwrap();
            asked.push(read_forwarder_message(&bytes).unwrap());
            script.iter().for_each(|says| stream.write_all(says).unwrap());
            if i == 0 {
                stream.shutdown(Shutdown::Write).unwrap();
            }
            // A close with questions unread would be a reset, and overtake what was said.
            let _ = stream.read_to_end(&mut Vec::new());
        }
        asked
    });
    let forwarder = Followed::start(address);
    wait_for("three that can't be read", || forwarder.refused(MessageRejection::Unreadable) == 3);
    let asked = planner.join().unwrap();
    let version = Version { term: 1, generation: 5 };
    assert_eq!(
        asked[0],
        ForwarderMessage::Hello { name: "good".into(), plan_version: None, slice_size: None }
    );
    let again =
        ForwarderMessage::Hello { name: "good".into(), plan_version: Some(version), slice_size: None };
    assert!(asked[1..].iter().all(|a| *a == again), "{asked:?}");
    let has = forwarder.has();
    assert_eq!(
        (has.version, has.nodes, has.drained),
        (Some(version), ["a", "b", "c"].map(String::from).into(), vec!["b".to_string()])
    );
    assert!(!has.leased, "nobody has answered what it asked");
    assert_eq!(
        (forwarder.refused(MessageRejection::Outdated), forwarder.refused(MessageRejection::Unsolicited)),
        (4, 1)
    );
}
