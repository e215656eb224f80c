//! Starts a proxy from a checked configuration, and feeds it the lists that its inventory or its
//! planners give.

use crate::carried::{self, Carries};
use crate::config::{Carrier, Config, ListFrom};
use crate::error::ServeError;
use crate::feed::{Feed, seed};
use crate::fleet::Fleet;
use crate::lists::Lists;
use crate::mysql::Served;
use dewpier_http::backend::{Answers, Http, Reuse};
use dewpier_http::limits::{Budget, Caps};
use dewpier_http::request::Dialect;
use dewpier_http::server::{self, Server};
use dewpier_operate::io as operators;
use dewpier_operate::metrics::Metrics;
use dewpier_peers::Name;
use gannetproxy::engine::Engine;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};

/// Serves until SIGTERM. SIGHUP has the inventory read at once.
pub async fn until_signals(config: Config) -> Result<(), ServeError> {
    // The handlers come first: a signal that finds none ends the program.
    let mut hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let (reload, stop) = (Notify::new(), async move { terminate.recv().await.unwrap_or_default() });
    let reloading = async {
        while hangup.recv().await.is_some() {
            reload.notify_one();
        }
        std::future::pending().await
    };
    let ready = |address| eprintln!("dewpier: listening on {address}");
    tokio::select! {
        ran = run(config, ready, &reload, stop) => ran,
        () = reloading => Ok(()),
    }
}

/// Serves until `stop`, on the address that `ready` is told. `reload` has the inventory read at once.
/// Runs on a [`tokio::task::LocalSet`].
pub async fn run(
    config: Config,
    ready: impl FnOnce(SocketAddr),
    reload: &Notify,
    stop: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    let Config { listen, operator, descriptors, memory, source, settings, wire, routes, mysql, zone, fleet } =
        config;
    let (by_planners, mail) = match &fleet {
        Some(told) if told.carrier == Carrier::Planners => {
            let (fleet, mail) = carried::by_planners(Name::of(&told.name));
            (Some(fleet), Some(mail))
        }
        _ => (None, None),
    };
    let lists = match source {
        ListFrom::Inventory(inventory) => Lists::of_inventory(inventory)?,
        ListFrom::Planners(planners) => Lists::of_planners(*planners, mail)?,
    };
    let mut feed = Feed::first(lists, wire.zones.clone()).await?;

    let figures = Metrics::new(wire.classes.clone());
    let caps = Caps::new(descriptors, memory);
    let upstream = Http {
        connections: Budget::new(caps.backends),
        connect_timeout: wire.connect_timeout,
        idle_close: wire.idle_close,
        probe_path: "/-/healthy",
        reuse: Reuse::new(wire.handshake_price),
        answers: Answers::Plain,
        attempts: figures.attempt_counter(),
    };
    let listener = server::bind(listen)?;
    let address = listener.local_addr()?;
    let operators = operator.map(server::bind).transpose()?;
    if let Some(operators) = &operators {
        eprintln!("dewpier: operators call at {}", operators.local_addr()?);
    }
    let engine = Engine::leased(settings.clone(), wire.bounds(), seed(), upstream, feed.lease());
    let carrier = fleet.as_ref().map(|told| told.carrier.clone());
    let fleet = fleet.map(|told| Fleet::start(told, &zone, wire.classes.clone()));
    let carries = match carrier {
        Some(carrier) => Some(Carries::begin(&carrier, by_planners).await?),
        None => None,
    };
    if let Some(fleet) = &fleet {
        fleet.watch(&engine);
        feed.tells(fleet.clone());
    }
    feed.begin(&engine);
    let mysql = match mysql {
        Some(mysql) => Some(Served::start(mysql).await?),
        None => None,
    };
    ready(address);
    let server = Server::new(engine.clone(), settings, wire, Dialect::Plain(routes), caps, figures);
    let (asked, of_fleet) = (server.clone(), fleet.clone());
    let answer = move |call| match &of_fleet {
        Some(fleet) => fleet.operate(call, |call| asked.operate(call)),
        None => asked.operate(call),
    };
    let operating = async move {
        match operators {
            Some(listener) => operators::serve(listener, Rc::new(answer)).await,
            None => std::future::pending().await,
        }
    };
    let (stopping, stopped) = watch::channel(false);
    let told = || {
        let mut stopped = stopped.clone();
        async move {
            let _ = stopped.wait_for(|stopped| *stopped).await; // the sender outlives it
        }
    };
    let (listed, also_listed) = (Notify::new(), Notify::new());
    let serving = async {
        let other = async {
            if let Some(mysql) = mysql {
                mysql.run(&also_listed, told()).await;
            }
        };
        tokio::join!(server.run(Rc::new(listener), told()), other)
    };
    let signals = async {
        let reloading = async {
            loop {
                reload.notified().await;
                listed.notify_one();
                also_listed.notify_one();
            }
        };
        tokio::select! {
            () = stop => {}
            () = reloading => {}
        }
        stopping.send_replace(true);
        std::future::pending::<()>().await;
    };
    let talking = {
        let engine = engine.clone();
        async move {
            match fleet.zip(carries) {
                Some((fleet, carries)) => fleet.run(carries, engine).await,
                None => std::future::pending().await,
            }
        }
    };
    tokio::select! {
        _ = serving => {}
        ended = talking => return ended,
        () = feed.run(engine, &listed) => {}
        () = signals => {}
        () = operating => {}
    }
    Ok(())
}
