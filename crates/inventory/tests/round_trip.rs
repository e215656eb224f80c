//! Property tests: a list written in any format and encoding reads back equal, and arbitrary or damaged files neither
//! make the parser panic nor yield additional nodes.

mod common;

use common::*;
use dewpier_inventory::{Address, Backend, Encoding, Host, Options, State};
use proptest::prelude::*;
use std::collections::HashSet;
use std::net::IpAddr;

/// Generates a backend.
fn backend() -> impl Strategy<Value = Backend> {
    let v4 =
        (1u8..=223, any::<[u8; 3]>()).prop_map(|(first, [b, c, d])| Host::Ip(IpAddr::from([first, b, c, d])));
    let v6 = any::<[u16; 7]>()
        .prop_map(|s| Host::Ip(IpAddr::from([0x2001, s[0], s[1], s[2], s[3], s[4], s[5], s[6]])));
    let name = "[a-z]([a-z0-9]{0,8}[a-z])?(\\.[a-z]{1,5}){0,3}".prop_map(Host::Name);
    let id = "[A-Za-zА-яҚқҰұӘәІі0-9][-_.A-Za-zА-яҚқҰұӘәІі0-9]{0,20}";
    let zone = "([a-zА-я]{1,3}[- ,;0-9\"']{0,2}[a-z])?";
    let weight = prop_oneof![Just(1.0), Just(0.0), (1u32..10_000).prop_map(|n| f64::from(n) / 100.0)];
    let state = prop_oneof![4 => Just(State::Serving), 1 => Just(State::Draining)];
    (id, prop_oneof![v4, v6, name], 1u16.., zone, any::<u32>(), weight, state).prop_map(
        |(id, host, port, zone, cell, weight, state)| Backend {
            id,
            address: Address { host, port },
            zone: zone.into(),
            cell,
            weight,
            state,
            at: Default::default(),
        },
    )
}

/// Generates a list of backends with distinct ids and addresses.
fn backends() -> impl Strategy<Value = Vec<Backend>> {
    prop::collection::vec(backend(), 1..12).prop_map(|mut list| {
        let (mut ids, mut addresses) = (HashSet::new(), HashSet::new());
        list.retain(|b| ids.insert(b.id.clone()) && addresses.insert(b.address.clone()));
        list
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn written_list_reads_back_equal_in_every_format_and_encoding(backends in backends()) {
        for (format, text) in write_all_formats(&backends) {
            for encoding in [Encoding::Utf8, Encoding::Utf16Le, Encoding::Utf16Be, Encoding::Windows1251, Encoding::Kz1048] {
                let Some(bytes) = encode(&text, encoding, false) else { continue };
                let is_single_byte = matches!(encoding, Encoding::Windows1251 | Encoding::Kz1048);
                let options = Options { encoding: is_single_byte.then_some(encoding), ..Options::default() };
                let result = dewpier_inventory::read(&bytes, file_name(format), &options);
                let list = result.map_err(|error| TestCaseError::fail(format!("{error}\n{text}")))?;
                prop_assert_eq!(list.format, format, "{}", text);
                prop_assert_eq!(list.encoding, encoding);
                prop_assert_eq!(without_positions(&list.backends), without_positions(&backends), "{}", text);
            }
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        name in prop::sample::select(vec!["a.csv", "a.yaml", "a"]),
        encoding in prop::sample::select(vec![None, Some(Encoding::Kz1048), Some(Encoding::Utf16Le)]),
    ) {
        let options = Options { encoding, ..Options::default() };
        let _ = dewpier_inventory::read(&bytes, name, &options);
    }

    #[test]
    fn text_of_syntax_tokens_does_not_panic(
        text in "([-:,;\"'\\[\\]{}&*!|>?#%@` \n\r\ta-c0-9.]|hosts:|all:|children:|targets:|id|address|\\[1:3\\]|<<: ){0,60}",
        name in prop::sample::select(vec!["a.csv", "a.yaml", "a"]),
    ) {
        let _ = dewpier_inventory::read(text.as_bytes(), name, &Options::default());
    }

    #[test]
    fn damaged_file_is_rejected_or_yields_no_additional_nodes(
        backends in backends(),
        format_index in any::<prop::sample::Index>(),
        position in any::<prop::sample::Index>(),
        flipped_bits in any::<u8>(),
        damage in 0..3,
    ) {
        let files = write_all_formats(&backends);
        let (format, text) = &files[format_index.index(files.len())];
        let mut bytes = text.clone().into_bytes();
        let offset = position.index(bytes.len());
        match damage {
            0 => bytes.truncate(offset),
            1 => bytes[offset] ^= flipped_bits.max(1),
            _ => drop(bytes.remove(offset)),
        }
        if let Ok(list) = dewpier_inventory::read(&bytes, file_name(*format), &Options::default()) {
            // Neither additional nodes nor duplicate ids.
            let ids: HashSet<&str> = list.backends.iter().map(|b| b.id.as_str()).collect();
            prop_assert_eq!(ids.len(), list.backends.len());
            prop_assert!(!list.backends.is_empty() && list.backends.len() <= backends.len());
            // A truncated table with a complete end has lost whole rows only, so that each remaining node is one
            // that was written.
            if damage == 0 && list.has_complete_end {
                let written = without_positions(&backends);
                for b in without_positions(&list.backends) {
                    prop_assert!(written.contains(&b) || *format != dewpier_inventory::Format::Csv, "{:?}", b);
                }
            }
        }
    }
}

#[test]
fn plain_text_with_a_capital_outside_ascii_is_read_as_text() {
    let text = "- id: Алматы\n  address: 127.0.0.1:7070\n";
    let list = dewpier_inventory::read(text.as_bytes(), "a.yaml", &Options::default()).unwrap();
    assert_eq!(list.backends[0].id, "Алматы");
}
