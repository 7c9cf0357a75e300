//! Connections to servers, when there are as many as there may be.

mod world;

use fallgap_proxy::Terms;
use world::*;

/// Fails where connections at rest hold the room: then all goes to the server that was met first, and a service whose
/// servers have no connection is not served.
#[test]
fn one_at_rest_gives_way_to_a_new_one() {
    let servers = ["i-1", "i-2", "i-3"].map(|id| Server::start(id, |got| Does::Sends(ok(got, "well"))));
    for lines in [1, 2] {
        let world = World::new(Terms { lines, ..Terms::default() });
        world.view(&servers.each_ref());
        let before = servers.each_ref().map(|server| server.got().len());
        for at in 0..60 {
            assert_eq!(world.get("/safe/x", &format!("r{lines}-{at}")).status, 200);
            assert!(world.ask(|quay, _| quay.connections().1) <= lines);
        }
        for (server, before) in servers.iter().zip(before) {
            assert!(server.got().len() > before, "{} with {lines} connections", server.id);
        }
    }
}
