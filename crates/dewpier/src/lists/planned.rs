//! A forwarder's lists: its planners' while they can be heard, and its own watch's while they can't.

use super::lent::Lent;
use super::nodes::node_from_backend;
use super::resolve::Resolved;
use super::watched::Watched;
use crate::config::Planners;
use crate::status::{self, Shown, ShownNode};
use dewpier_plan::io::{Following, Mail, Security, Seen, follow};
use dewpier_plan::{Digest, Follower, Node, Rules, Slice, Standby, asked_every};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::watch;

/// How often it is seen whether to turn to another source, while that is on the way.
const LOOK: Duration = Duration::from_millis(5);

/// All that is known of planners and of the own watch.
struct Sides {
    follower: Rc<RefCell<Follower>>,
    standby: RefCell<Standby>,
    told: watch::Sender<Vec<Node>>,
    budgets: watch::Sender<HashMap<String, f64>>,
    lent: Rc<Lent>,
    start: Instant,
    name: String,
    /// When the plan came that holds.
    since: Cell<Option<Instant>>,
}

impl Sides {
    fn shown(&self) -> Shown {
        let (follower, standby) = (self.follower.borrow(), self.standby.borrow());
        let until = standby.until(&follower, self.start.elapsed());
        let by = match (standby.on_its_own(), until) {
            (true, _) => "own watch",
            (false, None) => "last plan",
            (false, Some(_)) => "planners",
        };
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let budgets = follower.budgets();
        let node = |n: Node| ShownNode {
            address: n.address.to_string(),
            draining: n.draining,
            usual: budgets.get(&n.id).copied(),
            id: n.id,
        };
        Shown {
            forwarder: self.name.clone(),
            by: by.into(),
            version: follower.version().map(|v| format!("{}.{}", v.term, v.generation)),
            plan_age_ms: self.since.get().map(|at| millis(at.elapsed())),
            lease_left_ms: until.map(|until| millis(until.saturating_sub(self.start.elapsed()))),
            refused: follower.refused().iter().map(|(why, n)| (why.to_string(), *n)).collect(),
            nodes: standby.nodes(&follower).into_iter().map(node).collect(),
        }
    }

    /// Sees where things stand after something has happened.
    fn see(&self, follower: &Follower, seen: Seen) {
        let mut standby = self.standby.borrow_mut();
        let now = self.start.elapsed();
        let (watched, on_its_own) = (standby.watches(), standby.on_its_own());
        // The keys of the standard hasher are random; no more is needed of a lot.
        let lot = RandomState::new().build_hasher().finish() as f64 / u64::MAX as f64;
        let turned = standby.see(follower, now, lot);
        if !watched && standby.watches() {
            eprintln!("dewpier: planners are silent: an own watch begins");
        }
        if on_its_own && !standby.on_its_own() {
            eprintln!("dewpier: planners are back");
        }
        if seen == Seen::Nodes {
            self.since.set(Some(Instant::now()));
        }
        if seen == Seen::Budgets {
            self.budgets.send_replace(follower.budgets());
        }
        self.hand_on(&standby, follower, seen == Seen::Nodes || turned);
    }

    fn hand_on(&self, standby: &Standby, follower: &Follower, changed: bool) {
        if changed {
            // The list goes first: what is lent from here on is lent for it.
            self.lent.waits();
            self.told.send_replace(standby.nodes(follower));
        }
        let until = standby.until(follower, self.start.elapsed());
        self.lent.lend(until.map(|until| self.start + until));
    }

    /// Asks the own watch to look, and hears when it last did.
    fn look(&self, watch: &Watched) {
        let mut standby = self.standby.borrow_mut();
        if let Some(began) = watch.looked() {
            standby.looked(began.saturating_duration_since(self.start));
        }
        standby.look();
        watch.look();
    }

    fn own(&self, list: &Resolved) {
        let nodes: Vec<Node> = list.iter().map(|(b, a)| node_from_backend(b, *a)).collect();
        let follower = self.follower.borrow();
        let mut standby = self.standby.borrow_mut();
        if standby.own(&follower, nodes) {
            self.hand_on(&standby, &follower, true);
        }
    }
}

/// Where lists and budgets go, and where digests come from. Of each only the latest counts.
pub(super) struct Ends {
    pub(super) told: watch::Sender<Vec<Node>>,
    pub(super) budgets: watch::Sender<HashMap<String, f64>>,
    pub(super) digests: watch::Receiver<Digest>,
    /// Letters that planners carry, if any.
    pub(super) mail: Option<Mail>,
    /// Where it is asked what it goes by.
    pub(super) status: Option<UnixListener>,
}

/// Follows planners for good, and turns to the own watch where that is needed.
pub(super) async fn run(planners: Planners, security: Security, ends: Ends, lent: Rc<Lent>, start: Instant) {
    let Planners { addresses, name, drains, beat, nodes, own, spread, .. } = planners;
    let slice = nodes.map(|nodes| Slice::new(&name, nodes));
    let follower = Rc::new(RefCell::new(Follower::of(slice).bounded(drains)));
    let rules = Rules { own: own.is_some(), spread, lease: drains.lease() };
    let look_every = asked_every(rules.lease);
    let standby = RefCell::new(Standby::new(rules));
    let (told, budgets) = (ends.told, ends.budgets);
    let (since, own_name) = (Cell::new(None), name.clone());
    let sides =
        Sides { follower: follower.clone(), standby, told, budgets, lent, start, name: own_name, since };
    let following = Following { planners: addresses, name, beat, start, security };
    let followed =
        follow(following, follower, ends.digests, ends.mail, |follower, seen| sides.see(follower, seen));
    tokio::pin!(followed);
    let mut watch: Option<Watched> = None;
    let status = ends.status;
    let mut looked = start;
    loop {
        let turning = sides.standby.borrow().watches() || sides.follower.borrow().silent();
        let look = if turning { LOOK } else { beat };
        tokio::select! {
            () = &mut followed => return,
            () = tokio::time::sleep(look) => {
                if let Some(lists) = watch.as_ref().filter(|_| looked.elapsed() >= look_every) {
                    looked = Instant::now();
                    sides.look(lists);
                }
                sides.see(&sides.follower.borrow(), Seen::Lease);
            }
            asking = asked(&status) => {
                tokio::task::spawn_local(status::answer(asking, sides.shown()));
            }
            // `next` loses nothing where it is dropped.
            news = next(&mut watch) => match news {
                Ok(list) => {
                    eprintln!("dewpier: {} backends from its own watch", list.len());
                    sides.own(&list);
                }
                Err(why) => {
                    eprintln!("dewpier: its own watch brings no list: {why}");
                    sides.standby.borrow_mut().no_list();
                }
            },
        }
        let watches = sides.standby.borrow().watches();
        match (&own, watches, &watch) {
            (Some(inventory), true, None) => match Watched::start(inventory.clone()) {
                Ok(watched) => watch = Some(watched),
                Err(error) => {
                    eprintln!("dewpier: an own watch can't begin: {error}");
                    sides.standby.borrow_mut().no_list();
                    // It is tried again, not at once.
                    tokio::select! {
                        () = &mut followed => return,
                        () = tokio::time::sleep(Duration::from_secs(1)) => {}
                    }
                }
            },
            (_, false, Some(_)) => watch = None,
            _ => {}
        }
    }
}

/// The next one who asks on that socket.
async fn asked(status: &Option<UnixListener>) -> UnixStream {
    loop {
        match status {
            None => std::future::pending().await,
            Some(listener) => match listener.accept().await {
                Ok((stream, _)) => return stream,
                Err(_) => tokio::time::sleep(Duration::from_millis(100)).await, // no descriptors are left
            },
        }
    }
}

async fn next(watch: &mut Option<Watched>) -> Result<Resolved, String> {
    match watch {
        Some(watched) => watched.next().await,
        None => std::future::pending().await,
    }
}
