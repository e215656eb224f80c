//! SIGHUP: the configuration is read again, and the list comes from the discovery named there.

mod common;

use common::sockets::*;
use serde_json::json;
use std::sync::mpsc::channel;

/// A discovery that has this list, whole, and nothing newer: a call that names another version is told all of it.
fn having(generation: u64, backend: &Played) -> Played {
    let all = discovery_list(
        generation,
        true,
        &[list_entry(&format!("s-{generation}"), backend.address, "SERVING")],
    )
    .to_string();
    Played::new(move |_, message| match message.first.contains(&format!("since={generation}&")) {
        false => Play::Answer(answer("200 OK", &all)),
        true => Play::Silence(channel().0),
    })
}

#[test]
fn on_sighup_the_list_comes_from_the_discovery_that_the_file_names() {
    let backends = ["old", "new", "newest"].map(Played::good);
    let mut config = build_config(&settings(), &known_list(&[&backends[0]]));
    let first = idle_discovery();
    let mut proxy = Proxy::start_with_config(&config, first.address);
    wait_for("watch", || first.count() == 1);
    assert_eq!(proxy.exchange(&request_text("look", 9000)).body, b"old");
    // The versions of the next one are lower: they say nothing beside those of the first.
    let mut discoveries = Vec::new();
    for (generation, name) in [(7, "new"), (3, "newest")] {
        let discovery = having(generation, &backends[1 + discoveries.len()]);
        config["discovery"] = json!(discovery.address.to_string());
        proxy.write_config(&config);
        proxy.signal("-HUP");
        wait_for("list", || proxy.exchange(&request_text("look", 9000)).body == name.as_bytes());
        wait_for("watch", || discovery.count() >= 2);
        let requests = discovery.requests.lock().unwrap().clone();
        assert!(requests[0].first.starts_with("GET /api/targets?since=0&"), "{}", requests[0].first);
        assert!(requests[1].first.contains(&format!("since={generation}&")), "{}", requests[1].first);
        discoveries.push(discovery);
    }
    // What can't be used changes nothing, also several times and during a stop.
    for text in ["{", "{}", &config.to_string().replace("127.0.0.1:", "nowhere:")] {
        proxy.write_config_text(text);
        proxy.signal("-HUP");
        assert_eq!(proxy.exchange(&request_text("look", 9000)).body, b"newest");
    }
    proxy.signal("-TERM");
    proxy.signal("-HUP");
    wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
    assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_discovery_that_knows_no_watch_from_the_beginning_is_asked_for_its_list() {
    for refuses in [true, false] {
        let backends = ["old", "new"].map(Played::good);
        let all = discovery_list(5, true, &[list_entry("s-new", backends[1].address, "SERVING")]).to_string();
        let part = backends[0].address;
        let discovery = Played::new(move |_, message| match message.first.as_str() {
            "GET /api/targets HTTP/1.1" => Play::Answer(answer("200 OK", &all)),
            first if first.contains("since=0&") && refuses => Play::Answer(answer("400 Bad Request", "")),
            first if first.contains("since=0&") => {
                // What changed there since the beginning, and not all that there is.
                let part = discovery_list(5, false, &[list_entry("s-part", part, "SERVING")]);
                Play::Answer(answer("200 OK", &part.to_string()))
            }
            _ => Play::Silence(channel().0),
        });
        let mut config = build_config(&settings(), &known_list(&[&backends[0]]));
        let proxy = Proxy::start_with_config(&config, idle_discovery().address);
        assert_eq!(proxy.exchange(&request_text("look", 9000)).body, b"old");
        config["discovery"] = json!(discovery.address.to_string());
        proxy.write_config(&config);
        proxy.signal("-HUP");
        wait_for("list", || proxy.exchange(&request_text("look", 9000)).body == b"new");
    }
}
