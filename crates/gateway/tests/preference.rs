//! Which homes supervisors prefer.

use fallgap_gateway::preference::{Place, first_home_of, homes_of};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

fn place(n: u8, zone: &str) -> Place {
    (Ipv4Addr::new(10, 0, 0, n), zone.into())
}

#[test]
fn itself_first_then_near_ones_and_the_work_is_shared() {
    let keepers = [place(1, "a"), place(2, "a"), place(3, "b"), place(4, "b")];
    assert_eq!(first_home_of(&keepers[2], &keepers), Some(keepers[2].0));
    let mut followers: BTreeMap<Ipv4Addr, u32> = BTreeMap::new();
    for n in 10..210 {
        let supervisor = place(n, if n % 2 == 0 { "a" } else { "b" });
        let homes = homes_of(&supervisor, &keepers);
        assert_eq!(homes.first().copied(), first_home_of(&supervisor, &keepers));
        let near = keepers.iter().filter(|keeper| keeper.1 == supervisor.1).map(|keeper| keeper.0);
        let (mut near, mut first) = (near.collect::<Vec<_>>(), homes[..2].to_vec());
        near.sort();
        first.sort();
        assert_eq!(near, first);
        *followers.entry(homes[0]).or_default() += 1;
    }
    assert!(
        followers.len() == 4 && followers.values().all(|count| (30..=70).contains(count)),
        "{followers:?}"
    );
    assert_eq!(first_home_of(&place(9, "a"), &[]), None);
}
