//! What is refused, with the place and the reason; and what looks odd and is right.

mod common;

use common::read;
use dewpier_inventory::{Encoding, Format, Options, State};

/// Refused at that place, with these words in the message.
#[track_caller]
fn refused(name: &str, text: &str, place: &str, words: &[&str]) {
    match read(name, text) {
        Ok(read) => panic!("read as {:?}", read.backends),
        Err(refusal) => {
            let told = refusal.to_string();
            assert!(told.starts_with(&format!("{place}: ")), "{told}");
            for word in words {
                assert!(told.contains(word), "{word}: {told}");
            }
            assert!(told.contains("expected") && told.lines().count() == 1, "{told}");
        }
    }
}

#[track_caller]
fn ids(name: &str, text: &str) -> Vec<String> {
    match read(name, text) {
        Ok(read) => read.backends.into_iter().map(|b| b.id).collect(),
        Err(refusal) => panic!("{refusal}"),
    }
}

#[test]
fn tables_that_clash_or_lack_something() {
    let good = "id,address,weight\na,10.0.0.1:80,1\n";
    assert_eq!(ids("n.csv", good), ["a"]);
    refused(
        "n.csv",
        "id,address\na,10.0.0.1:80\nb,10.0.0.2:80\na,10.0.0.3:80\n",
        "4:1",
        &["id 'a'", "first at 2:1"],
    );
    refused(
        "n.csv",
        "id,address\na,10.0.0.1:80\nb,10.0.0.1:80\n",
        "3:3",
        &["10.0.0.1:80", "'b'", "'a' at 2:3"],
    );
    refused("n.csv", "id,address\na,[::1]:80\nb,[0:0::0:1]:80\n", "3:3", &["[::1]:80"]);
    refused("n.csv", "id,address\n", "1:1", &["at least one node", "header alone"]);
    refused("n.csv", "", "1:1", &["empty file"]);
    refused("n.csv", "id,address\na,10.0.0.1\n", "2:3", &["port", "none in '10.0.0.1'"]);
    for port in ["0", "65536", "080", "http", "-1", ""] {
        refused("n.csv", &format!("id,address\na,10.0.0.1:{port}\n"), "2:3", &["port", "1 to 65535"]);
    }
    for weight in ["NaN", "-1", "inf", "Infinity", "1e999", "heavy", "1 5"] {
        refused(
            "n.csv",
            &format!("id,address,weight\na,10.0.0.1:80,{weight}\n"),
            "2:15",
            &["weight", "not below 0"],
        );
    }
    refused("n.csv", "id,address,state\na,10.0.0.1:80,gone\n", "2:15", &["serving or draining", "'gone'"]);
    refused("n.csv", "id,address\n,10.0.0.1:80\n", "2:1", &["id"]);
    refused("n.csv", "id,address\na,\n", "2:1", &["host:port"]);
    refused("n.csv", "id,host,address,port\na,h1,h2:80,\n", "2:3", &["host", "'h2' as at 2:6", "'h1'"]);
    refused("n.csv", "id,address,port\na,h2:80,81\n", "2:9", &["port", "'80' as at 2:3", "'81'"]);
    refused("n.csv", "name,colour\na,red\n", "1:1", &["address", "name | colour"]);
    refused("n.csv", "id,address,ID\na,10.0.0.1:80,b\n", "1:12", &["column", "first at 1:1"]);
    refused("n.csv", "id,address\na,10.0.0.300:80\n", "2:3", &["IPv4", "10.0.0.300"]);
    refused("n.csv", "id,address\na,0.0.0.0:80\n", "2:3", &["one host"]);
}

#[test]
fn tables_that_are_broken() {
    refused(
        "n.csv",
        "id,address,zone\na,10.0.0.1:80,x\nb,10.0.0.2:80\n",
        "3:1",
        &["3 values", "2 in this row"],
    );
    refused("n.csv", "id,address\na,10.0.0.1:80,x\n", "2:1", &["2 values", "3 in this row"]);
    refused(
        "n.csv",
        "id,address,comment\na,10.0.0.1:80,\"open\nb,10.0.0.2:80,x\n",
        "2:15",
        &["closing quote"],
    );
    refused("n.csv", "id,address\na\"b,10.0.0.1:80\n", "2:2", &["quote"]);
    refused("n.csv", "id,address\n\"a\"b,10.0.0.1:80\n", "2:4", &["closing quote", "more text"]);
    refused("n.csv", "id,address\ra,10.0.0.1:80\r", "1:11", &["carriage return alone"]);
    refused("n.csv", "id,address,\"x\"\ra,10.0.0.1:80,\r", "1:15", &["closing quote"]);
    refused("n.csv", "id,address\na,10.0.0.1:80\nb\0,10.0.0.2:80\n", "3:2", &["byte offset 26", "NUL"]);
    refused("n.csv", "id,address\n\"a\nb\",10.0.0.1:80\n", "2:1", &["control"]);
    let many = Options { max_nodes: 2, ..Options::default() };
    let text = "id,address\na,10.0.0.1:80\nb,10.0.0.2:80\nc,10.0.0.3:80\n";
    let told = dewpier_inventory::read(text.as_bytes(), "n.csv", &many).unwrap_err().to_string();
    assert_eq!(told, "4:1: expected at most 2 nodes, found more");
    let small = Options { max_bytes: 10, ..Options::default() };
    let told = dewpier_inventory::read(text.as_bytes(), "n.csv", &small).unwrap_err().to_string();
    assert_eq!(told, format!("1:1: expected at most 10 bytes, found {} or more", text.len()));
}

#[test]
fn tables_as_spreadsheets_write_them() {
    let text = "\u{feff}Comment;STATE; Port ;Ip Address;Name;Weight\r\n\
                \"first; \"\"the warm one\"\"\r\nof two\";Draining;80;10.0.0.1;a;1,5\r\n\
                ;;;;;\r\n\
                \r\n\
                second;;81;10.0.0.1;b;2\r\n";
    let read = read("nodes.csv", text).unwrap();
    let seen: Vec<_> =
        read.backends.iter().map(|b| (b.id.as_str(), b.address.to_string(), b.weight, b.state)).collect();
    assert_eq!(
        seen,
        [
            ("a", "10.0.0.1:80".to_string(), 1.5, State::Draining),
            ("b", "10.0.0.1:81".to_string(), 2.0, State::Serving)
        ]
    );
    assert_eq!(read.backends.iter().map(|b| b.at.line).collect::<Vec<_>>(), [2, 6]);
    assert!(read.has_complete_end && read.ignored_fields.is_empty());
    let with_sep = "sep=;\nid;address;wieght\na;10.0.0.1:80;3\n";
    let read = common::read("nodes.csv", with_sep).unwrap();
    assert_eq!(read.ignored_fields, ["wieght"]);
    // Without a final line end it may be cut off: told, not refused here.
    assert!(!common::read("nodes.csv", "id,address\na,10.0.0.1:80").unwrap().has_complete_end);
    // The ending of the name says nothing: the header does.
    assert_eq!(common::read("nodes", "id,address\na,10.0.0.1:80\n").unwrap().format, Format::Csv);
    assert_eq!(ids("nodes", "- 10.0.0.1:80\n"), ["10.0.0.1:80"]);
}

#[test]
fn yaml_that_two_readers_would_read_in_two_ways() {
    for (word, read_as) in [
        ("no", "a truth value"),
        ("on", "a truth value"),
        ("012", "octal"),
        ("22:22", "sixties"),
        ("1.10", "decimal"),
        ("0x1F", "base"),
        ("2026-12-01", "date"),
        ("1_0", "number"),
    ] {
        refused(
            "n.yaml",
            &format!("- id: {word}\n  address: 10.0.0.1:80\n"),
            "1:7",
            &["id", word, read_as, "quotes"],
        );
        refused(
            "n.yaml",
            &format!("- id: a\n  address: 10.0.0.1:80\n  zone: {word}\n"),
            "3:9",
            &["zone", read_as],
        );
        assert_eq!(ids("n.yaml", &format!("- id: '{word}'\n  address: 10.0.0.1:80\n")), [word]);
        let host =
            format!("all:\n  hosts:\n    {word}:\n      ansible_host: 10.0.0.1\n      ansible_port: 80\n");
        refused("n.yaml", &host, "3:5", &["host name", read_as]);
    }
    refused("n.yaml", "- id: a\n  host: 10.0.0.1\n  port: 012\n", "3:9", &["port", "octal"]);
    refused("n.yaml", "- id: a\n  address: 22:22\n", "2:12", &["address", "sixties"]);
    for weight in [".nan", ".inf", "-.inf", "-1", "1e400", "NaN"] {
        refused(
            "n.yaml",
            &format!("- id: a\n  address: 10.0.0.1:80\n  weight: {weight}\n"),
            "3:11",
            &["weight"],
        );
    }
}

#[test]
fn yaml_that_is_broken_or_clashes() {
    refused("n.yaml", "- id: a\n  address: 10.0.0.1:80\n  id: b\n", "3:3", &["key 'id'", "first at 1:3"]);
    refused("n.yaml", "- id: a\n  address: 10.0.0.1:80\n---\n- id: b\n", "3:1", &["one document"]);
    refused("n.yaml", "", "1:1", &["at least one node"]);
    refused("n.yaml", "# nothing\n", "1:1", &["at least one node"]);
    refused("n.yaml", "[]\n", "1:1", &["at least one node", "empty list"]);
    refused("n.yaml", "backends:\n", "1:1", &["at least one node"]);
    refused(
        "n.yaml",
        "- id: a\n  address: 10.0.0.1:80\n- id: a\n  address: 10.0.0.2:80\n",
        "3:7",
        &["id 'a'", "1:7"],
    );
    refused("n.yaml", "- 10.0.0.1:80\n- 10.0.0.1:80\n", "2:3", &["first at 1:3"]);
    refused("n.yaml", "- id: a\n  address: [10.0.0.1]\n", "2:12", &["plain value", "a list of 1"]);
    refused("n.yaml", "- id: \"a\n", "1:7", &["YAML"]);
    refused("n.yaml", "- id: {{ name }}\n  address: 10.0.0.1:80\n", "1:8", &["key"]);
    refused("n.yaml", "- id: \"{{ name }}\"\n  address: 10.0.0.1:80\n", "1:7", &["template"]);
    refused("n.yaml", "- id: !vault x\n  address: 10.0.0.1:80\n", "1:7", &["tag"]);
    let mut bomb = "a0: &a0 [x,x,x,x,x,x,x,x,x]\n".to_string();
    for level in 1..12 {
        bomb += &format!("a{level}: &a{level} [{}]\n", vec![format!("*a{}", level - 1); 9].join(","));
    }
    let told = read("n.yaml", &bomb).unwrap_err().to_string();
    assert!(told.contains("those of aliases included"), "{told}");
}

#[test]
fn target_groups() {
    let text = r#"[{"targets": ["10.0.0.1:80", "10.0.0.2:80"], "labels": {"zone": "a", "job": "x"}},
                   {"targets": ["pricing-1.example.org:81"], "labels": {"id": "p1", "weight": "0.5"}}]"#;
    let read = read("targets.json", text).unwrap();
    assert_eq!(read.format, Format::FileSd);
    assert!(read.has_complete_end, "a closed bracket shows the end");
    let seen: Vec<_> = read.backends.iter().map(|b| (b.id.as_str(), &*b.zone, b.weight)).collect();
    assert_eq!(seen, [("10.0.0.1:80", "a", 1.0), ("10.0.0.2:80", "a", 1.0), ("p1", "", 0.5)]);
    refused(
        "t.yaml",
        "- targets: [10.0.0.1:80]\n- targets: [10.0.0.1:80]\n",
        "2:13",
        &["10.0.0.1:80", "first at 1:13"],
    );
    refused("t.yaml", "- targets: [10.0.0.1]\n", "1:13", &["port"]);
    refused("t.yaml", "- targets: 10.0.0.1:80\n", "1:3", &["targets", "list"]);
    refused(
        "t.yaml",
        "- targets: ['10.0.0.1:80', '10.0.0.2:80']\n  labels: {id: a}\n",
        "2:16",
        &["label id"],
    );
    refused("t.yaml", "- targets: ['10.0.0.1:80']\n  label: {id: a}\n", "2:3", &["targets and labels"]);
}

#[test]
fn ansible_groups_and_the_order_of_their_variables() {
    let text = "
all:
  vars: {ansible_port: 7000, zone: z-all}
  hosts:
    lone: {ansible_host: 10.0.9.1}
  children:
    pricing:
      vars: {zone: z-pricing, weight: 2}
      hosts:
        pricing-[01:03]:
        pricing-04: {ansible_host: 10.0.0.4, ansible_port: 7004}
      children:
        big:
          vars: {weight: 4}
          hosts:
            pricing-02:
    urgent:
      vars: {ansible_group_priority: 10, zone: z-urgent}
      hosts:
        pricing-03:
    old:
      vars: {state: draining}
      hosts: {pricing-04: }
";
    let read = common::read("hosts.yaml", text).unwrap();
    assert_eq!(read.format, Format::Ansible);
    let seen: Vec<String> = read
        .backends
        .iter()
        .map(|b| format!("{} {} {} {} {}", b.id, b.address, b.zone, b.weight, b.state.name()))
        .collect();
    assert_eq!(
        seen,
        [
            "lone 10.0.9.1:7000 z-all 1 serving",
            "pricing-01 pricing-01:7000 z-pricing 2 serving",
            "pricing-02 pricing-02:7000 z-pricing 4 serving",
            "pricing-03 pricing-03:7000 z-urgent 2 serving",
            "pricing-04 10.0.0.4:7004 z-pricing 2 draining",
        ]
    );
    let group = Options { group: Some("big".into()), ..Options::default() };
    let big = dewpier_inventory::read(text.as_bytes(), "hosts.yaml", &group).unwrap();
    assert_eq!(big.backends.len(), 1);
    let told =
        dewpier_inventory::read(b"id,address\na,10.0.0.1:80\n", "n.csv", &group).unwrap_err().to_string();
    assert_eq!(told, "1:1: group 'big': expected an Ansible inventory, found the form csv");
    let none = Options { group: Some("bigger".into()), ..Options::default() };
    let told = dewpier_inventory::read(text.as_bytes(), "hosts.yaml", &none).unwrap_err().to_string();
    assert!(told.contains("the group 'bigger'") && told.contains("pricing"), "{told}");
}

#[test]
fn ansible_inventories_that_lose_or_contradict_themselves() {
    let port = "  vars: {ansible_port: 80}\n";
    refused(
        "h.yaml",
        &format!("all:\n{port}  host:\n    a:\n"),
        "3:3",
        &["hosts, vars or children", "'host'"],
    );
    refused("h.yaml", "all:\n  hosts:\n    a:\n", "3:5", &["port"]);
    refused("h.yaml", &format!("all:\n{port}  hosts:\n    - a\n"), "4:5", &["hosts", "mapping"]);
    refused("h.yaml", &format!("all:\n{port}  hosts:\n    n[2:1]:\n"), "4:5", &["lower bound"]);
    refused("h.yaml", &format!("all:\n{port}  hosts:\n    n[1:999999999]:\n"), "4:5", &["range"]);
    refused("h.yaml", "a:\n  children:\n    b:\nb:\n  children:\n    a:\n", "1:1", &["loop"]);
    refused("h.yaml", "plugin: aws_ec2\nregions: [a]\n", "1:1", &["plugin"]);
    let twice = "a:\n  hosts:\n    n: {ansible_host: 10.0.0.1, ansible_port: 1}\nb:\n  hosts:\n    n: {ansible_host: 10.0.0.2}\n";
    refused("h.yaml", twice, "6:23", &["ansible_host of n", "10.0.0.1", "3:23", "10.0.0.2"]);
    let same = "a:\n  vars: {ansible_host: 10.0.0.1, ansible_port: 1}\n  hosts:\n    n1:\n    n2:\n";
    refused("h.yaml", same, "2:24", &["10.0.0.1:1", "'n2'", "'n1'"]);
    assert_eq!(ids("h.yaml", &format!("all:\n{port}  hosts:\n    a:\n    b:8080:\n")), ["a", "b"]);
}

#[test]
fn encodings_are_named_or_marked_and_never_guessed() {
    let table = "id,address,comment\na,10.0.0.1:80,Қазақстан ұлы\n";
    let kz = common::encode(table, Encoding::Kz1048, false).unwrap();
    let told = dewpier_inventory::read(&kz, "n.csv", &Options::default()).unwrap_err().to_string();
    assert!(told.starts_with("2:15: byte offset 33: expected UTF-8, found byte 0x8D; "), "{told}");
    assert!(told.contains("windows-1251 or kz-1048") && told.contains("--encoding"), "{told}");
    let named = |encoding| Options { encoding: Some(encoding), ..Options::default() };
    assert_eq!(
        dewpier_inventory::read(&kz, "n.csv", &named(Encoding::Kz1048)).unwrap().encoding,
        Encoding::Kz1048
    );
    for encoding in [Encoding::Windows1251, Encoding::Kz1048] {
        let told =
            dewpier_inventory::read(b"id,address\n\x98,1.2.3.4:5\n", "n.csv", &named(encoding)).unwrap_err();
        assert!(told.to_string().starts_with("2:1: byte offset 11: "), "{told}");
    }
    let id = |bytes: &[u8], encoding| {
        dewpier_inventory::read(bytes, "n.csv", &named(encoding)).unwrap().backends[0].id.clone()
    };
    assert_eq!(id(b"id,address\n\x8d\xb3\xff,1.2.3.4:5\n", Encoding::Kz1048), "Қія");
    assert_eq!(id(b"id,address\n\x8d\xb3\xff,1.2.3.4:5\n", Encoding::Windows1251), "Ќія");
    let marked = common::encode(table, Encoding::Utf16Le, true).unwrap();
    let told = dewpier_inventory::read(&marked, "n.csv", &named(Encoding::Utf8)).unwrap_err().to_string();
    assert!(told.contains("byte order mark of utf-16le"), "{told}");
    let told = dewpier_inventory::read(&marked[..marked.len() - 1], "n.csv", &Options::default())
        .unwrap_err()
        .to_string();
    assert!(told.contains("half a character"), "{told}");
    let told = dewpier_inventory::read(b"\xff\xfe\x00\xd8a\x00", "n.csv", &Options::default())
        .unwrap_err()
        .to_string();
    assert!(told.contains("byte offset 2") && told.contains("0xD800"), "{told}");
    let told =
        dewpier_inventory::read(b"\xff\xfe\x00\x00", "n.csv", &Options::default()).unwrap_err().to_string();
    assert!(told.contains("UTF-32"), "{told}");
    assert_eq!("KZ-1048".parse(), Ok(Encoding::Kz1048));
    assert_eq!("cp1251".parse(), Ok(Encoding::Windows1251));
    assert!("koi8-r".parse::<Encoding>().unwrap_err().contains("kz-1048"));
}
