//! Expands ranges in Ansible host names, such as `pricing-[01:20]`, `db-[a:f]` or `node[0:100:10]`. A name may have
//! several ranges.

use std::net::Ipv6Addr;

/// The expected input, as the error of a failed expansion.
pub(super) type Expected = &'static str;

/// A part of a host pattern.
enum Part<'a> {
    Fixed(&'a str),
    Numbers { from: u64, to: u64, step: u64, width: usize },
    Letters { from: u8, to: u8, step: u64 },
}

impl Part<'_> {
    /// The number of values of the part.
    fn len(&self) -> usize {
        let count = |interval: u64, step: u64| {
            usize::try_from(interval / step).map_or(usize::MAX, |n| n.saturating_add(1))
        };
        match self {
            Self::Fixed(_) => 1,
            Self::Numbers { from, to, step, .. } => count(to - from, *step),
            Self::Letters { from, to, step } => count(u64::from(to - from), *step),
        }
    }

    /// Appends the value with this index to a name.
    fn append(&self, index: usize, name: &mut String) {
        match self {
            Self::Fixed(text) => name.push_str(text),
            Self::Numbers { from, step, width, .. } => {
                let number = (from + step * index as u64).to_string();
                name.extend(std::iter::repeat_n('0', width.saturating_sub(number.len())));
                name.push_str(&number);
            }
            Self::Letters { from, step, .. } => name.push(char::from(from + (step * index as u64) as u8)),
        }
    }
}

/// Expands a pattern to at most `max_hosts` host names, and returns the port at its end, if any.
pub(super) fn expand(text: &str, max_hosts: usize) -> Result<(Vec<String>, Option<&str>), Expected> {
    let mut parts = Vec::new();
    let mut rest = text;
    let mut port = None;
    let mut name_count: usize = 1;
    while !rest.is_empty() {
        let Some(open) = rest.find('[') else {
            // Text after a single colon behind the last range is a port; several colons are an IPv6 address.
            match rest.split_once(':') {
                Some((before, after)) if !after.contains(':') => {
                    parts.push(Part::Fixed(before));
                    port = Some(after);
                }
                _ => parts.push(Part::Fixed(rest)),
            }
            break;
        };
        parts.push(Part::Fixed(&rest[..open]));
        let inner = &rest[open + 1..];
        let close = inner.find(']').ok_or("a closing bracket")?;
        let part = match inner[..close].parse::<Ipv6Addr>() {
            Ok(_) if open == 0 => Part::Fixed(&inner[..close]),
            _ => parse_range(&inner[..close])?,
        };
        name_count = name_count.saturating_mul(part.len());
        if name_count > max_hosts {
            return Err("a range with no more hosts than an inventory may list");
        }
        parts.push(part);
        rest = &inner[close + 1..];
    }
    let mut names = Vec::with_capacity(name_count);
    for name_index in 0..name_count {
        // The last range varies fastest, as in Ansible.
        let mut value_indexes = vec![0; parts.len()];
        let mut remaining = name_index;
        for (part, value_index) in parts.iter().zip(&mut value_indexes).rev() {
            (remaining, *value_index) = (remaining / part.len(), remaining % part.len());
        }
        let mut name = String::new();
        parts.iter().zip(value_indexes).for_each(|(part, value_index)| part.append(value_index, &mut name));
        names.push(name);
    }
    Ok((names, port))
}

/// Parses the text between the brackets of a range.
fn parse_range(text: &str) -> Result<Part<'static>, Expected> {
    let expected = "a range of numbers or letters, such as [01:20] or [a:f]";
    let bounds: Vec<&str> = text.split(':').collect();
    let (from, to, step) = match bounds[..] {
        [from, to] => (from, to, "1"),
        [from, to, step] => (from, to, step),
        _ => return Err(expected),
    };
    let is_digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    let step = Some(step).filter(|s| is_digits(s)).and_then(|s| s.parse().ok()).filter(|s| *s > 0);
    let step: u64 = step.ok_or("a step of 1 or more")?;
    // As in Ansible, a missing first bound is 0.
    let from = if from.is_empty() { "0" } else { from };
    if is_digits(from) && is_digits(to) {
        let is_padded = from.len() > 1 && from.starts_with('0');
        if is_padded && from.len() != to.len() {
            return Err("bounds of one width where the first is padded with zeros");
        }
        let parse_bound = |text: &str| text.parse::<u64>().map_err(|_| expected);
        let (width, from, to) =
            (if is_padded { from.len() } else { 0 }, parse_bound(from)?, parse_bound(to)?);
        if from > to {
            return Err("a range that begins with the lower bound");
        }
        return Ok(Part::Numbers { from, to, step, width });
    }
    match (from.as_bytes(), to.as_bytes()) {
        (&[from], &[to])
            if from.is_ascii_lowercase() && to.is_ascii_lowercase()
                || from.is_ascii_uppercase() && to.is_ascii_uppercase() =>
        {
            if from > to {
                Err("a range that begins with the lower bound")
            } else {
                Ok(Part::Letters { from, to, step })
            }
        }
        _ => Err(expected),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn expanded_names(text: &str) -> Vec<String> {
        expand(text, 1000).unwrap().0
    }

    #[test]
    fn ranges_expand_as_in_ansible() {
        assert_eq!(expanded_names("pricing-[09:11]"), ["pricing-09", "pricing-10", "pricing-11"]);
        assert_eq!(expanded_names("n[8:11].example.org").len(), 4);
        assert_eq!(expanded_names("n[8:11]")[0], "n8");
        assert_eq!(expanded_names("db-[a:c]"), ["db-a", "db-b", "db-c"]);
        assert_eq!(expanded_names("n[0:10:5]"), ["n0", "n5", "n10"]);
        assert_eq!(expanded_names("r[1:2]-[a:b]"), ["r1-a", "r1-b", "r2-a", "r2-b"]);
        assert_eq!(expand("n[1:2]:8080", 10).unwrap(), (vec!["n1".into(), "n2".into()], Some("8080")));
        assert_eq!(expand("[::1]:80", 10).unwrap(), (vec!["::1".into()], Some("80")));
        assert_eq!(expand("fe80::1", 10).unwrap(), (vec!["fe80::1".into()], None));
    }

    #[test]
    fn malformed_and_oversized_ranges_are_rejected() {
        for text in ["n[", "n[1]", "n[2:1]", "n[01:100]", "n[1:2:0]", "n[a:2]", "n[a:Z]", "n[1:2:3:4]", "n[]"]
        {
            assert!(expand(text, 1000).is_err(), "{text}");
        }
        assert!(expand("n[1:1001]", 1000).is_err());
        assert!(expand("n[0:18446744073709551615]", 1000).is_err());
        assert!(
            expand("[1:99]-[1:99]-[1:99]-[1:99]-[1:99]-[1:99]-[1:99]-[1:99]-[1:99]-[1:99]-[1:99]", 1000)
                .is_err()
        );
    }
}
