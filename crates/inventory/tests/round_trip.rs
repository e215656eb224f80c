//! A list written in any form and encoding reads back equal, and no bytes whatever make the
//! reader panic or give half a list.

mod common;

use common::*;
use dewpier_inventory::{Address, Backend, Encoding, Host, Options, State};
use proptest::prelude::*;
use std::collections::HashSet;
use std::net::IpAddr;

fn backend() -> impl Strategy<Value = Backend> {
    let v4 = (1u8..=223, any::<[u8; 3]>()).prop_map(|(a, [b, c, d])| Host::Ip(IpAddr::from([a, b, c, d])));
    let v6 = any::<[u16; 7]>()
        .prop_map(|r| Host::Ip(IpAddr::from([0x2001, r[0], r[1], r[2], r[3], r[4], r[5], r[6]])));
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

fn backends() -> impl Strategy<Value = Vec<Backend>> {
    prop::collection::vec(backend(), 1..12).prop_map(|mut all| {
        let (mut ids, mut addresses) = (HashSet::new(), HashSet::new());
        all.retain(|b| ids.insert(b.id.clone()) && addresses.insert(b.address.clone()));
        all
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn what_is_written_reads_back(backends in backends()) {
        for (format, text) in forms(&backends) {
            for encoding in [Encoding::Utf8, Encoding::Utf16Le, Encoding::Utf16Be, Encoding::Windows1251, Encoding::Kz1048] {
                let Some(bytes) = encode(&text, encoding, false) else { continue };
                let single = matches!(encoding, Encoding::Windows1251 | Encoding::Kz1048);
                let options = Options { encoding: single.then_some(encoding), ..Options::default() };
                let read = dewpier_inventory::read(&bytes, file_name(format), &options);
                let read = read.map_err(|r| TestCaseError::fail(format!("{r}\n{text}")))?;
                prop_assert_eq!(read.format, format, "{}", text);
                prop_assert_eq!(read.encoding, encoding);
                prop_assert_eq!(bare(&read.backends), bare(&backends), "{}", text);
            }
        }
    }

    #[test]
    fn no_bytes_make_it_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        name in prop::sample::select(vec!["a.csv", "a.yaml", "a"]),
        encoding in prop::sample::select(vec![None, Some(Encoding::Kz1048), Some(Encoding::Utf16Le)]),
    ) {
        let options = Options { encoding, ..Options::default() };
        let _ = dewpier_inventory::read(&bytes, name, &options);
    }

    #[test]
    fn no_text_of_its_own_signs_makes_it_panic(
        text in "([-:,;\"'\\[\\]{}&*!|>?#%@` \n\r\ta-c0-9.]|hosts:|all:|children:|targets:|id|address|\\[1:3\\]|<<: ){0,60}",
        name in prop::sample::select(vec!["a.csv", "a.yaml", "a"]),
    ) {
        let _ = dewpier_inventory::read(text.as_bytes(), name, &Options::default());
    }

    #[test]
    fn what_is_broken_is_refused_or_read_whole(
        backends in backends(),
        form in any::<prop::sample::Index>(),
        cut in any::<prop::sample::Index>(),
        flip in any::<u8>(),
        how in 0..3,
    ) {
        let all = forms(&backends);
        let (format, text) = &all[form.index(all.len())];
        let mut bytes = text.clone().into_bytes();
        let at = cut.index(bytes.len());
        match how {
            0 => bytes.truncate(at),
            1 => bytes[at] ^= flip.max(1),
            _ => drop(bytes.remove(at)),
        }
        if let Ok(read) = dewpier_inventory::read(&bytes, file_name(*format), &Options::default()) {
            // Never more nodes than there were, and none twice.
            let ids: HashSet<&str> = read.backends.iter().map(|b| b.id.as_str()).collect();
            prop_assert_eq!(ids.len(), read.backends.len());
            prop_assert!(!read.backends.is_empty() && read.backends.len() <= backends.len());
            // A cut that leaves an end in sight has lost whole rows at the most: each node that is
            // left is one that was written.
            if how == 0 && read.has_complete_end {
                let written = bare(&backends);
                for b in bare(&read.backends) {
                    prop_assert!(written.contains(&b) || *format != dewpier_inventory::Format::Csv, "{:?}", b);
                }
            }
        }
    }
}
