//! Invalid files are rejected with the position and the reason; unusual but valid files are accepted.

mod common;

use common::read;
use dewpier_inventory::{Encoding, Format, Options, State};

/// Asserts that a file is rejected at a position, with these words in the one-line message.
#[track_caller]
fn assert_rejected(name: &str, text: &str, position: &str, words: &[&str]) {
    match read(name, text) {
        Ok(list) => panic!("accepted as {:?}", list.backends),
        Err(error) => {
            let message = error.to_string();
            assert!(message.starts_with(&format!("{position}: ")), "{message}");
            for word in words {
                assert!(message.contains(word), "{word}: {message}");
            }
            assert!(message.contains("expected") && message.lines().count() == 1, "{message}");
        }
    }
}

/// The ids of a valid file.
#[track_caller]
fn ids(name: &str, text: &str) -> Vec<String> {
    match read(name, text) {
        Ok(list) => list.backends.into_iter().map(|b| b.id).collect(),
        Err(error) => panic!("{error}"),
    }
}

#[test]
fn tables_with_missing_invalid_or_duplicate_values_are_rejected() {
    let valid = "id,address,weight\na,10.0.0.1:80,1\n";
    assert_eq!(ids("n.csv", valid), ["a"]);
    assert_rejected(
        "n.csv",
        "id,address\na,10.0.0.1:80\nb,10.0.0.2:80\na,10.0.0.3:80\n",
        "4:1",
        &["id 'a'", "first at 2:1"],
    );
    assert_rejected(
        "n.csv",
        "id,address\na,10.0.0.1:80\nb,10.0.0.1:80\n",
        "3:3",
        &["10.0.0.1:80", "'b'", "'a' at 2:3"],
    );
    assert_rejected("n.csv", "id,address\na,[::1]:80\nb,[0:0::0:1]:80\n", "3:3", &["[::1]:80"]);
    assert_rejected("n.csv", "id,address\n", "1:1", &["at least one node", "header alone"]);
    assert_rejected("n.csv", "", "1:1", &["empty file"]);
    assert_rejected("n.csv", "id,address\na,10.0.0.1\n", "2:3", &["port", "none in '10.0.0.1'"]);
    for port in ["0", "65536", "080", "http", "-1", ""] {
        assert_rejected("n.csv", &format!("id,address\na,10.0.0.1:{port}\n"), "2:3", &["port", "1 to 65535"]);
    }
    for weight in ["NaN", "-1", "inf", "Infinity", "1e999", "heavy", "1 5"] {
        assert_rejected(
            "n.csv",
            &format!("id,address,weight\na,10.0.0.1:80,{weight}\n"),
            "2:15",
            &["weight", "not below 0"],
        );
    }
    assert_rejected(
        "n.csv",
        "id,address,state\na,10.0.0.1:80,gone\n",
        "2:15",
        &["serving or draining", "'gone'"],
    );
    assert_rejected("n.csv", "id,address\n,10.0.0.1:80\n", "2:1", &["id"]);
    assert_rejected("n.csv", "id,address\na,\n", "2:1", &["host:port"]);
    assert_rejected(
        "n.csv",
        "id,host,address,port\na,h1,h2:80,\n",
        "2:3",
        &["host", "'h2' as at 2:6", "'h1'"],
    );
    assert_rejected("n.csv", "id,address,port\na,h2:80,81\n", "2:9", &["port", "'80' as at 2:3", "'81'"]);
    assert_rejected("n.csv", "name,colour\na,red\n", "1:1", &["address", "name | colour"]);
    assert_rejected("n.csv", "id,address,ID\na,10.0.0.1:80,b\n", "1:12", &["column", "first at 1:1"]);
    assert_rejected("n.csv", "id,address\na,10.0.0.300:80\n", "2:3", &["IPv4", "10.0.0.300"]);
    assert_rejected("n.csv", "id,address\na,0.0.0.0:80\n", "2:3", &["one host"]);
}

#[test]
fn malformed_or_oversized_tables_are_rejected() {
    assert_rejected(
        "n.csv",
        "id,address,zone\na,10.0.0.1:80,x\nb,10.0.0.2:80\n",
        "3:1",
        &["3 values", "2 in this row"],
    );
    assert_rejected("n.csv", "id,address\na,10.0.0.1:80,x\n", "2:1", &["2 values", "3 in this row"]);
    assert_rejected(
        "n.csv",
        "id,address,comment\na,10.0.0.1:80,\"open\nb,10.0.0.2:80,x\n",
        "2:15",
        &["closing quote"],
    );
    assert_rejected("n.csv", "id,address\na\"b,10.0.0.1:80\n", "2:2", &["quote"]);
    assert_rejected("n.csv", "id,address\n\"a\"b,10.0.0.1:80\n", "2:4", &["closing quote", "more text"]);
    assert_rejected("n.csv", "id,address\ra,10.0.0.1:80\r", "1:11", &["carriage return alone"]);
    assert_rejected("n.csv", "id,address,\"x\"\ra,10.0.0.1:80,\r", "1:15", &["closing quote"]);
    assert_rejected(
        "n.csv",
        "id,address\na,10.0.0.1:80\nb\0,10.0.0.2:80\n",
        "3:2",
        &["byte offset 26", "NUL"],
    );
    assert_rejected("n.csv", "id,address\n\"a\nb\",10.0.0.1:80\n", "2:1", &["control"]);
    let two_nodes = Options { max_nodes: 2, ..Options::default() };
    let text = "id,address\na,10.0.0.1:80\nb,10.0.0.2:80\nc,10.0.0.3:80\n";
    let message = dewpier_inventory::read(text.as_bytes(), "n.csv", &two_nodes).unwrap_err().to_string();
    assert_eq!(message, "4:1: expected at most 2 nodes, found more");
    let ten_bytes = Options { max_bytes: 10, ..Options::default() };
    let message = dewpier_inventory::read(text.as_bytes(), "n.csv", &ten_bytes).unwrap_err().to_string();
    assert_eq!(message, format!("1:1: expected at most 10 bytes, found {} or more", text.len()));
}

#[test]
fn tables_exported_by_spreadsheets_are_accepted() {
    let text = "\u{feff}Comment;STATE; Port ;Ip Address;Name;Weight\r\n\
                \"first; \"\"the warm one\"\"\r\nof two\";Draining;80;10.0.0.1;a;1,5\r\n\
                ;;;;;\r\n\
                \r\n\
                second;;81;10.0.0.1;b;2\r\n";
    let list = read("nodes.csv", text).unwrap();
    let fields: Vec<_> =
        list.backends.iter().map(|b| (b.id.as_str(), b.address.to_string(), b.weight, b.state)).collect();
    assert_eq!(
        fields,
        [
            ("a", "10.0.0.1:80".to_string(), 1.5, State::Draining),
            ("b", "10.0.0.1:81".to_string(), 2.0, State::Serving)
        ]
    );
    assert_eq!(list.backends.iter().map(|b| b.at.line).collect::<Vec<_>>(), [2, 6]);
    assert!(list.has_complete_end && list.ignored_fields.is_empty());
    let with_sep = "sep=;\nid;address;wieght\na;10.0.0.1:80;3\n";
    let list = common::read("nodes.csv", with_sep).unwrap();
    assert_eq!(list.ignored_fields, ["wieght"]);
    // Without a final line break, a table may be truncated. It is marked as incomplete but not rejected here.
    assert!(!common::read("nodes.csv", "id,address\na,10.0.0.1:80").unwrap().has_complete_end);
    // Without a known extension, the first line determines the format.
    assert_eq!(common::read("nodes", "id,address\na,10.0.0.1:80\n").unwrap().format, Format::Csv);
    assert_eq!(ids("nodes", "- 10.0.0.1:80\n"), ["10.0.0.1:80"]);
}

#[test]
fn ambiguous_yaml_scalars_are_rejected_unless_quoted() {
    for (word, other_type) in [
        ("no", "a boolean"),
        ("on", "a boolean"),
        ("012", "octal"),
        ("22:22", "base-60"),
        ("1.10", "decimal"),
        ("0x1F", "base"),
        ("2026-12-01", "date"),
        ("1_0", "number"),
    ] {
        assert_rejected(
            "n.yaml",
            &format!("- id: {word}\n  address: 10.0.0.1:80\n"),
            "1:7",
            &["id", word, other_type, "quotes"],
        );
        assert_rejected(
            "n.yaml",
            &format!("- id: a\n  address: 10.0.0.1:80\n  zone: {word}\n"),
            "3:9",
            &["zone", other_type],
        );
        assert_eq!(ids("n.yaml", &format!("- id: '{word}'\n  address: 10.0.0.1:80\n")), [word]);
        let host =
            format!("all:\n  hosts:\n    {word}:\n      ansible_host: 10.0.0.1\n      ansible_port: 80\n");
        assert_rejected("n.yaml", &host, "3:5", &["host name", other_type]);
    }
    assert_rejected("n.yaml", "- id: a\n  host: 10.0.0.1\n  port: 012\n", "3:9", &["port", "octal"]);
    assert_rejected("n.yaml", "- id: a\n  address: 22:22\n", "2:12", &["address", "base-60"]);
    for weight in [".nan", ".inf", "-.inf", "-1", "1e400", "NaN"] {
        assert_rejected(
            "n.yaml",
            &format!("- id: a\n  address: 10.0.0.1:80\n  weight: {weight}\n"),
            "3:11",
            &["weight"],
        );
    }
}

#[test]
fn malformed_yaml_and_duplicates_are_rejected() {
    assert_rejected(
        "n.yaml",
        "- id: a\n  address: 10.0.0.1:80\n  id: b\n",
        "3:3",
        &["key 'id'", "first at 1:3"],
    );
    assert_rejected("n.yaml", "- id: a\n  address: 10.0.0.1:80\n---\n- id: b\n", "3:1", &["one document"]);
    assert_rejected("n.yaml", "", "1:1", &["at least one node"]);
    assert_rejected("n.yaml", "# nothing\n", "1:1", &["at least one node"]);
    assert_rejected("n.yaml", "[]\n", "1:1", &["at least one node", "empty list"]);
    assert_rejected("n.yaml", "backends:\n", "1:1", &["at least one node"]);
    assert_rejected(
        "n.yaml",
        "- id: a\n  address: 10.0.0.1:80\n- id: a\n  address: 10.0.0.2:80\n",
        "3:7",
        &["id 'a'", "1:7"],
    );
    assert_rejected("n.yaml", "- 10.0.0.1:80\n- 10.0.0.1:80\n", "2:3", &["first at 1:3"]);
    assert_rejected("n.yaml", "- id: a\n  address: [10.0.0.1]\n", "2:12", &["plain value", "a list of 1"]);
    assert_rejected("n.yaml", "- id: \"a\n", "1:7", &["YAML"]);
    assert_rejected("n.yaml", "- id: {{ name }}\n  address: 10.0.0.1:80\n", "1:8", &["key"]);
    assert_rejected("n.yaml", "- id: \"{{ name }}\"\n  address: 10.0.0.1:80\n", "1:7", &["template"]);
    assert_rejected("n.yaml", "- id: !vault x\n  address: 10.0.0.1:80\n", "1:7", &["tag"]);
    let mut alias_bomb = "a0: &a0 [x,x,x,x,x,x,x,x,x]\n".to_string();
    for level in 1..12 {
        alias_bomb += &format!("a{level}: &a{level} [{}]\n", vec![format!("*a{}", level - 1); 9].join(","));
    }
    let message = read("n.yaml", &alias_bomb).unwrap_err().to_string();
    assert!(message.contains("those of aliases included"), "{message}");
}

#[test]
fn target_groups_are_parsed_and_invalid_ones_rejected() {
    let text = r#"[{"targets": ["10.0.0.1:80", "10.0.0.2:80"], "labels": {"zone": "a", "job": "x"}},
                   {"targets": ["pricing-1.example.org:81"], "labels": {"id": "p1", "weight": "0.5"}}]"#;
    let list = read("targets.json", text).unwrap();
    assert_eq!(list.format, Format::FileSd);
    assert!(list.has_complete_end, "a closed bracket shows the end");
    let fields: Vec<_> = list.backends.iter().map(|b| (b.id.as_str(), &*b.zone, b.weight)).collect();
    assert_eq!(fields, [("10.0.0.1:80", "a", 1.0), ("10.0.0.2:80", "a", 1.0), ("p1", "", 0.5)]);
    assert_rejected(
        "t.yaml",
        "- targets: [10.0.0.1:80]\n- targets: [10.0.0.1:80]\n",
        "2:13",
        &["10.0.0.1:80", "first at 1:13"],
    );
    assert_rejected("t.yaml", "- targets: [10.0.0.1]\n", "1:13", &["port"]);
    assert_rejected("t.yaml", "- targets: 10.0.0.1:80\n", "1:3", &["targets", "list"]);
    assert_rejected(
        "t.yaml",
        "- targets: ['10.0.0.1:80', '10.0.0.2:80']\n  labels: {id: a}\n",
        "2:16",
        &["label id"],
    );
    assert_rejected(
        "t.yaml",
        "- targets: ['10.0.0.1:80']\n  label: {id: a}\n",
        "2:3",
        &["targets and labels"],
    );
}

#[test]
fn ansible_variables_are_merged_by_depth_priority_and_name() {
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
    let list = common::read("hosts.yaml", text).unwrap();
    assert_eq!(list.format, Format::Ansible);
    let fields: Vec<String> = list
        .backends
        .iter()
        .map(|b| format!("{} {} {} {} {}", b.id, b.address, b.zone, b.weight, b.state.name()))
        .collect();
    assert_eq!(
        fields,
        [
            "lone 10.0.9.1:7000 z-all 1 serving",
            "pricing-01 pricing-01:7000 z-pricing 2 serving",
            "pricing-02 pricing-02:7000 z-pricing 4 serving",
            "pricing-03 pricing-03:7000 z-urgent 2 serving",
            "pricing-04 10.0.0.4:7004 z-pricing 2 draining",
        ]
    );
    let big_group = Options { group: Some("big".into()), ..Options::default() };
    let big = dewpier_inventory::read(text.as_bytes(), "hosts.yaml", &big_group).unwrap();
    assert_eq!(big.backends.len(), 1);
    let message =
        dewpier_inventory::read(b"id,address\na,10.0.0.1:80\n", "n.csv", &big_group).unwrap_err().to_string();
    assert_eq!(message, "1:1: group 'big': expected an Ansible inventory, found the form csv");
    let unknown_group = Options { group: Some("bigger".into()), ..Options::default() };
    let message =
        dewpier_inventory::read(text.as_bytes(), "hosts.yaml", &unknown_group).unwrap_err().to_string();
    assert!(message.contains("the group 'bigger'") && message.contains("pricing"), "{message}");
}

#[test]
fn incomplete_or_contradictory_ansible_inventories_are_rejected() {
    let port = "  vars: {ansible_port: 80}\n";
    assert_rejected(
        "h.yaml",
        &format!("all:\n{port}  host:\n    a:\n"),
        "3:3",
        &["hosts, vars or children", "'host'"],
    );
    assert_rejected("h.yaml", "all:\n  hosts:\n    a:\n", "3:5", &["port"]);
    assert_rejected("h.yaml", &format!("all:\n{port}  hosts:\n    - a\n"), "4:5", &["hosts", "mapping"]);
    assert_rejected("h.yaml", &format!("all:\n{port}  hosts:\n    n[2:1]:\n"), "4:5", &["lower bound"]);
    assert_rejected("h.yaml", &format!("all:\n{port}  hosts:\n    n[1:999999999]:\n"), "4:5", &["range"]);
    assert_rejected("h.yaml", "a:\n  children:\n    b:\nb:\n  children:\n    a:\n", "1:1", &["loop"]);
    assert_rejected("h.yaml", "plugin: aws_ec2\nregions: [a]\n", "1:1", &["plugin"]);
    let conflicting_hosts = "a:\n  hosts:\n    n: {ansible_host: 10.0.0.1, ansible_port: 1}\nb:\n  hosts:\n    n: {ansible_host: 10.0.0.2}\n";
    assert_rejected(
        "h.yaml",
        conflicting_hosts,
        "6:23",
        &["ansible_host of n", "10.0.0.1", "3:23", "10.0.0.2"],
    );
    let shared_address =
        "a:\n  vars: {ansible_host: 10.0.0.1, ansible_port: 1}\n  hosts:\n    n1:\n    n2:\n";
    assert_rejected("h.yaml", shared_address, "2:24", &["10.0.0.1:1", "'n2'", "'n1'"]);
    assert_eq!(ids("h.yaml", &format!("all:\n{port}  hosts:\n    a:\n    b:8080:\n")), ["a", "b"]);
}

#[test]
fn encoding_comes_from_options_or_byte_order_mark_and_is_not_guessed() {
    let table = "id,address,comment\na,10.0.0.1:80,Қазақстан ұлы\n";
    let kz1048_bytes = common::encode(table, Encoding::Kz1048, false).unwrap();
    let message =
        dewpier_inventory::read(&kz1048_bytes, "n.csv", &Options::default()).unwrap_err().to_string();
    assert!(message.starts_with("2:15: byte offset 33: expected UTF-8, found byte 0x8D; "), "{message}");
    assert!(message.contains("windows-1251 or kz-1048") && message.contains("--encoding"), "{message}");
    let with_encoding = |encoding| Options { encoding: Some(encoding), ..Options::default() };
    assert_eq!(
        dewpier_inventory::read(&kz1048_bytes, "n.csv", &with_encoding(Encoding::Kz1048)).unwrap().encoding,
        Encoding::Kz1048
    );
    for encoding in [Encoding::Windows1251, Encoding::Kz1048] {
        let message =
            dewpier_inventory::read(b"id,address\n\x98,1.2.3.4:5\n", "n.csv", &with_encoding(encoding))
                .unwrap_err();
        assert!(message.to_string().starts_with("2:1: byte offset 11: "), "{message}");
    }
    let id = |bytes: &[u8], encoding| {
        dewpier_inventory::read(bytes, "n.csv", &with_encoding(encoding)).unwrap().backends[0].id.clone()
    };
    assert_eq!(id(b"id,address\n\x8d\xb3\xff,1.2.3.4:5\n", Encoding::Kz1048), "Қія");
    assert_eq!(id(b"id,address\n\x8d\xb3\xff,1.2.3.4:5\n", Encoding::Windows1251), "Ќія");
    let utf16_bytes = common::encode(table, Encoding::Utf16Le, true).unwrap();
    let message = dewpier_inventory::read(&utf16_bytes, "n.csv", &with_encoding(Encoding::Utf8))
        .unwrap_err()
        .to_string();
    assert!(message.contains("byte order mark of utf-16le"), "{message}");
    let message =
        dewpier_inventory::read(&utf16_bytes[..utf16_bytes.len() - 1], "n.csv", &Options::default())
            .unwrap_err()
            .to_string();
    assert!(message.contains("half a character"), "{message}");
    let message = dewpier_inventory::read(b"\xff\xfe\x00\xd8a\x00", "n.csv", &Options::default())
        .unwrap_err()
        .to_string();
    assert!(message.contains("byte offset 2") && message.contains("0xD800"), "{message}");
    let message =
        dewpier_inventory::read(b"\xff\xfe\x00\x00", "n.csv", &Options::default()).unwrap_err().to_string();
    assert!(message.contains("UTF-32"), "{message}");
    assert_eq!("KZ-1048".parse(), Ok(Encoding::Kz1048));
    assert_eq!("cp1251".parse(), Ok(Encoding::Windows1251));
    assert!("koi8-r".parse::<Encoding>().unwrap_err().contains("kz-1048"));
}
