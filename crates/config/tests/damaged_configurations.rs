//! Bodies that are cut, doubled, or have values of other types in them: what is taken is a configuration that can be routed
//! by, whatever was done to the body.

use fallgap_config::{Configuration, read_configuration};
use proptest::prelude::*;
use std::collections::BTreeSet;

const BODY: &str = include_str!("configuration.json");
const OTHERS: [&str; 12] =
    ["null", "true", "-1", "0", "1e400", "7.5", "\"\"", "\" \"", "\"/\"", "[]", "{}", "[[null,0,\"x\"]]"];

/// What the operator's pages call valid, looked at by itself.
fn can_be_routed_by(configuration: &Configuration) -> Result<(), &'static str> {
    let services: BTreeSet<&str> = configuration.services.iter().map(|service| &*service.name).collect();
    let mut places = BTreeSet::new();
    for route in &configuration.routes {
        let sum: f64 = route.sorting.iter().map(|(_, share)| share).sum();
        let wrong = [
            (route.depot.trim().is_empty(), "no host"),
            (!route.lane_prefix.starts_with('/') || !route.lane_prefix.ends_with('/'), "no prefix"),
            (route.sorting.iter().any(|(service, _)| !services.contains(&**service)), "an unknown service"),
            (!(sum.is_finite() && sum > 0.0), "weights that add up to 0"),
            (route.sorting.iter().any(|(_, share)| *share < 0.0), "a weight below 0"),
            (route.timeout.is_zero(), "no time"),
            (!places.insert((&*route.depot, &*route.lane_prefix)), "two routes at one place"),
        ];
        if let Some((_, why)) = wrong.iter().find(|(is_so, _)| *is_so) {
            return Err(why);
        }
    }
    Ok(())
}

/// Where values stand that are no lists and no objects.
fn scalars() -> Vec<(usize, usize)> {
    let (mut found, mut from) = (Vec::new(), None);
    let (mut in_text, mut escaped) = (false, false);
    for (at, byte) in BODY.bytes().enumerate() {
        if in_text {
            in_text = escaped || byte != b'"';
            escaped = !escaped && byte == b'\\';
            continue;
        }
        in_text = byte == b'"';
        let between = matches!(byte, b'[' | b']' | b'{' | b'}' | b',' | b':') || byte.is_ascii_whitespace();
        match from {
            None if !between => from = Some(at),
            Some(begin) if between => {
                found.push((begin, at));
                from = None;
            }
            _ => {}
        }
    }
    found
}

fn check(body: &[u8]) -> Result<(), TestCaseError> {
    if let Ok(read) = read_configuration(body) {
        prop_assert_eq!(can_be_routed_by(&read), Ok(()));
        let notes = read.notes();
        let told = Configuration::from_notes(notes.iter().map(|(name, text)| (&**name, &**text)));
        prop_assert_eq!(told.as_ref(), Some(&read), "another one is told to those that follow");
    }
    Ok(())
}

proptest! {
    #[test]
    fn values_of_other_types_do_no_harm(
        swaps in prop::collection::vec((any::<prop::sample::Index>(), 0..OTHERS.len()), 1..4)
    ) {
        let places = scalars();
        let mut chosen: Vec<_> = swaps.iter().map(|(at, other)| (*at.get(&places), OTHERS[*other])).collect();
        chosen.sort_unstable();
        chosen.dedup_by_key(|(place, _)| *place);
        let mut body = BODY.to_owned();
        for ((from, to), other) in chosen.into_iter().rev() {
            body.replace_range(from..to, other);
        }
        check(body.as_bytes())?;
    }

    #[test]
    fn a_part_that_is_left_out_or_doubled_does_no_harm(from in 0..BODY.len(), to in 0..BODY.len(), twice: bool) {
        let (from, to) = (from.min(to), from.max(to));
        let bytes = BODY.as_bytes();
        let part = &bytes[from..to];
        let parts: [&[u8]; 3] = if twice { [&bytes[..to], part, &bytes[to..]] } else { [&bytes[..from], &bytes[to..], b""] };
        check(&parts.concat())?;
    }

    #[test]
    fn one_that_is_cut_is_refused(at in 0..BODY.trim_end().len()) {
        prop_assert!(read_configuration(&BODY.as_bytes()[..at]).is_err());
    }
}
