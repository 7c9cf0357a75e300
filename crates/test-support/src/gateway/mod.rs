//! Stand-ins for what the gateway talks to: servers that beat, clients, and the processes of a small fleet of
//! supervisors on loopback addresses. Threads that block, for tests and examples.

mod beating;
mod client;
mod flood;
mod landing;
mod server;

pub use beating::{Beating, Notice};
pub use client::{Client, Reply, call, get};
pub use flood::{Flood, alone};
pub use landing::{Landing, Supervisor};
pub use server::{Does, Got, Server, ok, status};

/// An operator's configuration: host `h.example` with a route for each class to service `s`, prefixes as named.
pub fn configuration(edition: u64, prefixes: [&str; 2]) -> String {
    let [safe, fragile] = prefixes;
    format!(
        r#"{{"edition":{edition},
"routes":{{"fields":["name","depot","lane_prefix","route_class","timeout_s","target_s","priority","attempts","service"],
"entries":[["r1","h.example","{safe}","safe",2,0.25,0,2,"s"],["r2","h.example","{fragile}","fragile",2,0.3,1,1,"s"]]}},
"services":{{"fields":["name","health_path","line_cap"],"entries":[["s","/health",64]]}},
"limits":{{"header_bytes":16384,"body_bytes":1048576,"header_s":3,"idle_s":15}}}}"#
    )
}
