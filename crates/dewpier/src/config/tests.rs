//! Configuration files: defaults, the checked examples, and errors with their position.

use super::*;
use gannetproxy::Effect;
use hyper::Method;
use std::path::PathBuf;

/// The smallest configuration of a proxy.
const MINIMAL: &str = "listen = \"127.0.0.1:0\"\n[inventory]\nfile = \"nodes.csv\"\n";

/// The smallest configuration of a forwarder.
const FORWARDER: &str =
    "listen = \"127.0.0.1:0\"\n[planners]\nname = \"f\"\naddresses = [\"127.0.0.1:1\"]\nplaintext = true\n";

fn parse(text: &str) -> Result<Config, String> {
    Config::parse(text, Path::new("/etc/dewpier/dewpier.toml")).map_err(|error| error.to_string())
}

#[test]
fn minimal_configuration_gets_the_defaults() {
    let config = parse(MINIMAL).unwrap();
    let ListSourceConfig::Inventory(inventory) = &config.list_source else {
        panic!("{:?}", config.list_source)
    };
    assert_eq!(inventory.file, Path::new("/etc/dewpier/nodes.csv"));
    assert_eq!(config.wire.drain_grace, Duration::from_millis(500));
    let class = |method, path| {
        let class = config.routes.find_class(&method, path)?;
        Some((config.wire.classes[class].as_str(), config.settings.classes[class].effect))
    };
    assert_eq!(class(Method::GET, "/a"), Some(("default-safe", Effect::Safe)));
    assert_eq!(class(Method::POST, "/a"), Some(("default-unsafe", Effect::Unsafe)));
    assert_eq!(class(Method::DELETE, "/a"), Some(("default-unsafe", Effect::Unsafe)));
}

#[test]
fn drain_bound_sets_the_defaults_and_limits_of_dependent_settings() {
    let forwarder = |settings: &str| {
        let config = parse(&format!("{FORWARDER}{settings}")).unwrap();
        let ListSourceConfig::Planners(planners) = config.list_source else {
            panic!("{:?}", config.list_source)
        };
        [
            planners.drain_bound.get(),
            planners.heartbeat_interval,
            planners.own_watch_spread,
            config.wire.drain_grace,
        ]
        .map(|duration| duration.as_millis())
    };
    assert_eq!(forwarder(""), [500, 100, 100, 100]);
    assert_eq!(forwarder("drain_ms = 250\n"), [250, 50, 50, 50]);
    assert_eq!(forwarder("drain_ms = 100\n"), [100, 20, 20, 20]);
    let planner = |settings: &str| {
        let text =
            format!("listen = \"127.0.0.1:0\"\nplaintext = true\n{settings}[inventory]\nfile = \"a\"\n");
        let config = PlannerConfig::parse(&text, Path::new("/p.toml"));
        config.map(|c| c.lease.as_millis()).map_err(|error| error.to_string())
    };
    assert_eq!(["", "drain_ms = 250\n", "drain_ms = 100\n"].map(planner), [Ok(400), Ok(200), Ok(80)]);
    let error = planner("drain_ms = 250\nlease_ms = 201\n").unwrap_err();
    assert_eq!(
        error,
        "/p.toml:4:12: lease_ms: expected a whole number from 50 to 200, found 201, where drain_ms is 250"
    );
}

#[test]
fn fleet_example_in_deploy_is_valid() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/fleet.toml");
    let fleet = Config::read(Path::new(example)).unwrap().fleet.unwrap();
    assert_eq!(
        (fleet.name.as_str(), fleet.verdict_settings.fleet_size, fleet.verdict_settings.quorum),
        ("proxy-1", 2, 2)
    );
    let TransportConfig::Datagrams { listen, peer_addresses } = fleet.carrier else {
        panic!("{:?}", fleet.carrier)
    };
    assert!(
        listen.ip().is_loopback() && peer_addresses.values().all(|address| address.ip().is_loopback()),
        "{listen} {peer_addresses:?}"
    );
}

#[test]
fn proxy_example_in_deploy_is_valid() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/dewpier.toml");
    let config = Config::read(Path::new(example)).unwrap();
    let ListSourceConfig::Inventory(inventory) = &config.list_source else {
        panic!("{:?}", config.list_source)
    };
    let list = dewpier_inventory::io::read_file(&inventory.file, &inventory.options).unwrap();
    assert!(list.backends.len() > 1);
}

#[test]
fn invalid_settings_are_reported_with_their_position() {
    for (text, position, expected) in [
        ("listen = \"here\"\n[inventory]\nfile = \"a\"\n", "1:10", "address:port, found 'here'"),
        ("[inventory]\nfile = \"a\"\n", "1:1", "listen"),
        (
            "listen = \"127.0.0.1:0\"\noperator = \"0.0.0.0:1\"\n[inventory]\nfile = \"a\"\n",
            "2:12",
            "loopback",
        ),
        ("listen = \"127.0.0.1:0\"\n", "1:1", "[inventory] or [planners], found neither"),
        (
            "listen = \"127.0.0.1:0\"\n[planners]\nname = \"f\"\naddresses = [\"10.0.0.1:1\"]\nplaintext = true\n",
            "4:14",
            "loopback",
        ),
        ("listen = \"127.0.0.1:0\"\n[planners]\nname = \"f\"\naddresses = []\n", "4:13", "1 to 16, found 0"),
        (
            "listen = \"127.0.0.1:0\"\n[planners]\nname = \"f\"\naddresses = [\"127.0.0.1:1\"]\n",
            "4:13",
            "a table 'tls', or plaintext = true on loopback, found neither",
        ),
        (
            "listen = \"127.0.0.1:0\"\n[planners]\nname = \"f\"\naddresses = [\"127.0.0.1:1\"]\nplaintext = true\nnodes = 0\n",
            "6:9",
            "nodes: expected a whole number from 1 to 20000, found 0",
        ),
        (
            &format!("{FORWARDER}drain_ms = 99\n"),
            "6:12",
            "drain_ms: expected a whole number from 100 to 2000, found 99",
        ),
        (
            &format!("{FORWARDER}drain_ms = 250\nbeat_ms = 67\n"),
            "7:11",
            "beat_ms: expected a whole number from 10 to 66, found 67, where drain_ms is 250",
        ),
        (
            &format!("{FORWARDER}drain_ms = 250\nown_watch_spread_ms = 600\n"),
            "7:23",
            "own_watch_spread_ms: expected a whole number from 0 to 550, found 600, where drain_ms is 250",
        ),
        (
            &format!("{FORWARDER}[backends]\ndrain_grace_ms = 101\n"),
            "7:18",
            "drain_grace_ms: expected a whole number from 10 to 100, found 101, where drain_ms is 500",
        ),
        (&format!("{MINIMAL}fil = 1\n"), "4:1", "unknown field `fil`"),
        (&format!("{MINIMAL}max_vanish = 1.5\n"), "4:14", "a number from 0 to 1, found 1.5"),
        (&format!("{MINIMAL}max_vanish = nan\n"), "4:14", "a number from 0 to 1, found NaN"),
        (&format!("{MINIMAL}default_port = 0\n"), "4:16", "1 to 65535, found 0"),
        (&format!("{MINIMAL}settle_ms = -1\n"), "4:13", "0 to 60000"),
        (&format!("{MINIMAL}encoding = \"koi8-r\"\n"), "4:12", "kz-1048"),
        (&format!("{MINIMAL}format = \"xml\"\n"), "4:10", "file_sd"),
        (&format!("{MINIMAL}[limits]\nmax_attempts = 0\n"), "5:16", "1 to 16"),
        (&format!("{MINIMAL}[instances]\nnumber = 2\nme = 2\n"), "6:6", "0 to 1"),
        (&format!("{MINIMAL}[[class]]\nname = \"a\"\neffect = \"keyed\"\n"), "5:8", "window_ms"),
        (&format!("{MINIMAL}[[class]]\nname = \"a\"\neffect = \"sure\"\n"), "6:10", "sure"),
        (&format!("{MINIMAL}[[class]]\nname = \"a\"\neffect = \"safe\"\nwindow_ms = 4\n"), "7:13", "none"),
        (
            &format!("{MINIMAL}[[class]]\nname = \"a\"\neffect = \"safe\"\nmatch = [{{path = \"a\"}}]\n"),
            "7:18",
            "/",
        ),
        (
            &format!(
                "{MINIMAL}[[class]]\nname = \"a\"\neffect = \"safe\"\nmatch = [{{methods = [\"get\"]}}]\n"
            ),
            "7:22",
            "GET",
        ),
        (
            &format!("{MINIMAL}[[class]]\nname = \"a\"\neffect = \"safe\"\naim_ms = 20000\n"),
            "7:10",
            "1 to 15000",
        ),
        (
            &format!(
                "{MINIMAL}[[class]]\nname = \"a\"\neffect = \"safe\"\n[[class]]\nname = \"a\"\neffect = \"safe\"\n"
            ),
            "8:8",
            "no other",
        ),
        ("listen = ", "1:10", ""),
        ("", "1:1", "listen"),
    ] {
        let error = parse(text).map(|_| ()).unwrap_err();
        assert!(error.starts_with(&format!("/etc/dewpier/dewpier.toml:{position}: ")), "{text}{error}");
        assert!(error.contains(expected) && error.lines().count() == 1, "{expected}: {error}");
    }
}

#[test]
fn fleet_tables_are_accepted_or_rejected_with_their_position() {
    let folder = std::env::temp_dir().join(format!("dewpier-fleet-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("key"), "sixteen bytes or more").unwrap();
    std::fs::write(folder.join("short"), "short").unwrap();
    let read = |settings: &str| {
        let text = format!("{MINIMAL}[fleet]\n{settings}\n");
        Config::parse(&text, &folder.join("dewpier.toml")).map_err(|error| error.to_string())
    };
    let peers =
        "peers = [{ name = \"a\", address = \"127.0.0.1:1\" }, { name = \"b\", address = \"127.0.0.1:2\" }]";
    let minimal = format!("name = \"a\"\nlisten = \"127.0.0.1:1\"\nkey_file = \"key\"\n{peers}");
    let fleet = read(&minimal).unwrap().fleet.unwrap();
    // The list may contain the proxy itself, which is then not its own peer.
    assert_eq!(
        (fleet.peers.len(), fleet.verdict_settings.fleet_size, fleet.send_interval.as_millis()),
        (1, 2, 250)
    );
    assert_eq!(fleet.verdict_settings.quorum, 2, "two proxies need a quorum of both");
    assert!(parse(MINIMAL).unwrap().fleet.is_none(), "off by default");
    assert!(fleet.snapshot_file.is_none(), "off by default");
    let snapshot_file =
        read(&format!("{minimal}\nsnapshot_file = \"known\"")).unwrap().fleet.unwrap().snapshot_file;
    assert_eq!(snapshot_file, Some(folder.join("known")));
    // The configuration's path has no folder.
    let key = folder.join("key").display().to_string();
    let bare = minimal.replace("\"key\"", &format!("\"{key}\""));
    let text = format!("{MINIMAL}[fleet]\n{bare}\nsnapshot_file = \"known\"\n");
    let snapshot_file = Config::parse(&text, Path::new("dewpier.toml")).unwrap().fleet.unwrap().snapshot_file;
    assert_eq!(snapshot_file, Some(PathBuf::from("known")));
    for (settings, line, expected) in [
        (minimal.replace("\"key\"", "\"short\""), 7, "16 to 4096 bytes"),
        (minimal.replace("\"key\"", "\"none\""), 7, "16 to 4096 bytes"),
        (minimal.replace("\"b\"", "\"a\""), 0, ""),
        (minimal.replace("{ name = \"a\"", "{ name = \"b\""), 8, "a name that no other proxy has"),
        (minimal.replace("127.0.0.1:2", "there"), 8, "address:port"),
        (format!("{minimal}\nquorum = 1"), 9, "from 2 to 64"),
        (format!("{minimal}\nquorum = 3"), 9, "from 2 to 2, as there are 2 proxies"),
        (format!("{minimal}\nstale_ms = 2000\nevery_ms = 400"), 10, "at most a sixth of stale_ms, 333 ms"),
        (format!("{minimal}\nmost_out = 1.5"), 9, "from 0 to 0.9"),
        (format!("{minimal}\nsnapshot_file = \"none/known\""), 9, "a file in a folder that is there"),
        (format!("{minimal}\nsnapshot_file = \"..\""), 9, "a file in a folder that is there"),
        (format!("{minimal}\ngossip = true"), 9, "unknown field"),
        (format!("{minimal}\ncarrier = \"pigeons\""), 9, "\"datagrams\" or \"planners\", found 'pigeons'"),
        (format!("{minimal}\ncarrier = \"planners\""), 9, "a forwarder with [planners], found none"),
        (minimal.replace("listen = \"127.0.0.1:1\"\n", ""), 5, "as datagrams go by address"),
        (minimal.replace(", address = \"127.0.0.1:2\"", ""), 8, "as datagrams go by address"),
    ] {
        let result = read(&settings);
        if line == 0 {
            assert!(result.is_ok(), "the proxy's own name may occur more than once");
            continue;
        }
        let error = result.unwrap_err();
        assert!(error.contains(&format!("dewpier.toml:{line}:")) && error.contains(expected), "{error}");
    }
    // With planners as the carrier no proxy has an address.
    let read_with_planners = |fleet: &str| {
        let planners = "[planners]\nname = \"p\"\naddresses = [\"127.0.0.1:9\"]\nplaintext = true\n";
        let text = format!("listen = \"127.0.0.1:0\"\n{planners}[fleet]\ncarrier = \"planners\"\n{fleet}\n");
        Config::parse(&text, &folder.join("dewpier.toml")).map_err(|error| error.to_string())
    };
    let names = "name = \"a\"\nkey_file = \"key\"\npeers = [{ name = \"a\" }, { name = \"b\" }]";
    let fleet = read_with_planners(names).unwrap().fleet.unwrap();
    assert_eq!((fleet.peers.len(), fleet.carrier), (1, TransportConfig::Planners));
    for settings in [
        format!("{names}\nlisten = \"127.0.0.1:1\""),
        names.replace("\"b\"", "\"b\", address = \"1.1.1.1:1\""),
    ] {
        let error = read_with_planners(&settings).unwrap_err();
        assert!(error.contains("none, as planners carry what is said"), "{error}");
    }
    let _ = std::fs::remove_dir_all(folder);
}
