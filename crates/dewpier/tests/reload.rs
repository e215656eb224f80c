//! SIGHUP: the proxy reads its configuration again and takes the list from the discovery service named there.

mod common;

use common::sockets::*;
use serde_json::json;
use std::sync::mpsc::channel;

/// A discovery service with one fixed list: a call that names another version receives the whole list.
fn fixed_discovery(generation: u64, backend: &ScriptedServer) -> ScriptedServer {
    let whole_list = discovery_list(
        generation,
        true,
        &[list_entry(&format!("s-{generation}"), backend.address, "SERVING")],
    )
    .to_string();
    ScriptedServer::new(move |_, message| {
        match message.start_line.contains(&format!("since={generation}&")) {
            false => ScriptedReply::Respond(format_response("200 OK", &whole_list)),
            true => ScriptedReply::NeverRespond(channel().0),
        }
    })
}

#[test]
fn sighup_takes_the_list_from_the_discovery_service_in_the_configuration() {
    let backends = ["old", "new", "newest"].map(ScriptedServer::always_ok);
    let mut config = build_config(&settings(), &known_list(&[&backends[0]]));
    let first = idle_discovery();
    let mut proxy = Proxy::start_with_config(&config, first.address);
    wait_for("watch", || first.request_count() == 1);
    assert_eq!(proxy.exchange(&request_text("look", 9000)).body, b"old");
    // Versions of different discovery services are not compared: the second one has a lower version.
    let mut discoveries = Vec::new();
    for (generation, name) in [(7, "new"), (3, "newest")] {
        let discovery = fixed_discovery(generation, &backends[1 + discoveries.len()]);
        config["discovery"] = json!(discovery.address.to_string());
        proxy.write_config(&config);
        proxy.signal("-HUP");
        wait_for("list", || proxy.exchange(&request_text("look", 9000)).body == name.as_bytes());
        wait_for("watch", || discovery.request_count() >= 2);
        let requests = discovery.received_requests.lock().unwrap().clone();
        assert!(
            requests[0].start_line.starts_with("GET /api/targets?since=0&"),
            "{}",
            requests[0].start_line
        );
        assert!(
            requests[1].start_line.contains(&format!("since={generation}&")),
            "{}",
            requests[1].start_line
        );
        discoveries.push(discovery);
    }
    // An invalid configuration changes nothing, also when it is repeated.
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
fn discovery_that_cannot_send_changes_since_version_0_is_asked_for_its_list() {
    for rejects_watch in [true, false] {
        let backends = ["old", "new"].map(ScriptedServer::always_ok);
        let whole_list =
            discovery_list(5, true, &[list_entry("s-new", backends[1].address, "SERVING")]).to_string();
        let partial_address = backends[0].address;
        let discovery = ScriptedServer::new(move |_, message| match message.start_line.as_str() {
            "GET /api/targets HTTP/1.1" => ScriptedReply::Respond(format_response("200 OK", &whole_list)),
            first if first.contains("since=0&") && rejects_watch => {
                ScriptedReply::Respond(format_response("400 Bad Request", ""))
            }
            first if first.contains("since=0&") => {
                // Only the changes since version 0, not the whole list.
                let changes = discovery_list(5, false, &[list_entry("s-part", partial_address, "SERVING")]);
                ScriptedReply::Respond(format_response("200 OK", &changes.to_string()))
            }
            _ => ScriptedReply::NeverRespond(channel().0),
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
