//! What has changed between two states of a table.

use fallgap_tables::{Entry, Key};

/// What leads from held entries to wanted ones; both in the order of keys.
pub(crate) fn differences<'a>(
    held: impl Iterator<Item = (&'a Key, &'a Entry)>, wanted: impl Iterator<Item = (&'a Key, &'a Entry)>,
    changes: &mut Vec<(Key, Option<Entry>)>,
) {
    let (mut held, mut wanted) = (held.peekable(), wanted.peekable());
    loop {
        let order = match (held.peek(), wanted.peek()) {
            (None, None) => return,
            (Some((held, _)), Some((wanted, _))) => held.cmp(wanted),
            (Some(_), None) => std::cmp::Ordering::Less,
            (None, Some(_)) => std::cmp::Ordering::Greater,
        };
        let old = if order.is_le() { held.next() } else { None };
        let new = if order.is_ge() { wanted.next() } else { None };
        match (old, new) {
            (Some((_, old)), Some((_, new))) if old == new => {}
            (_, Some((key, new))) => changes.push((key.clone(), Some(new.clone()))),
            (Some((key, _)), None) => changes.push((key.clone(), None)),
            (None, None) => {}
        }
    }
}
