//! What became of a request, and why.

use crate::status::{STALE_MS, age, asked};
use crate::told::{Tale, Tales};
use fallgap_routing::Why;

fn ms(us: u64) -> String {
    format!("{:.1} ms", us as f64 / 1e3)
}

fn from(tales: &Tales) -> String {
    let known = tales.answered + tales.silent.len() as u64;
    let mut line = format!("from {} of {known} nodes, asked over {}", tales.answered, asked(tales.asked));
    if !tales.silent.is_empty() {
        let silent: Vec<String> = tales.silent.iter().map(ToString::to_string).collect();
        line += &format!("; silent: {}", silent.join(", "));
    }
    line
}

fn status(tale: &Tale) -> String {
    if tale.status == 0 { "no answer, the client was gone".into() } else { tale.status.to_string() }
}

/// Each way of a request, a line for it and one for each try.
pub fn tales_text(tales: &Tales) -> String {
    let mut lines = Vec::new();
    for tale in &tales.tales {
        let route = tale.route.as_deref().unwrap_or("no route");
        let service = tale.service.as_deref().unwrap_or("no service");
        lines.push(format!(
            "{} at {}, {} ago: {} after {}, {}",
            tale.id,
            tale.node,
            age(Some(tale.ago_ms)),
            status(tale),
            ms(tale.took_us),
            tale.why
        ));
        lines.push(format!(
            "  route {route}, service {service}, edition {}, table confirmed {} before",
            tale.edition,
            age(tale.table_age_ms)
        ));
        for (n, one) in tale.tries.iter().enumerate() {
            let server = one.server.as_deref().unwrap_or("a forgotten server");
            let (began, took) = (ms(one.began_us), ms(one.took_us));
            lines.push(format!("  try {}: {server}, at {began}, for {took}: {}", n + 1, one.end));
        }
        if tale.more_tries > 0 {
            lines.push(format!("  {} more tries", tale.more_tries));
        }
    }
    if tales.tales.is_empty() {
        lines.push("nothing is remembered of it".into());
    }
    lines.push(from(tales));
    lines.join("\n")
}

/// In sentences: why it went where it did, or was refused, and what can be done.
pub fn why_text(tales: &Tales) -> String {
    let mut lines = Vec::new();
    for tale in &tales.tales {
        lines.push(format!("{} at {}: {}.", tale.id, tale.node, reason(tale)));
        lines.extend(tries(tale).map(|line| format!("  {line}.")));
        if let Some(stale) = stale(tale) {
            lines.push(format!("  {stale}."));
        }
    }
    if tales.tales.is_empty() {
        lines.push(
            "Nothing is remembered of it: it is too long ago, came to a node that gave no answer, or never came."
                .into(),
        );
    }
    lines.push(from(tales));
    lines.join("\n")
}

fn reason(tale: &Tale) -> String {
    let service = tale.service.as_deref().unwrap_or("its service");
    let route = tale.route.as_deref().unwrap_or("its route");
    let got = status(tale);
    let edition = tale.edition;
    match Why::from_word(&tale.why) {
        Some(Why::Answered) => {
            let server = tale.tries.iter().rev().find(|one| one.end == "answered");
            let server = server.and_then(|one| one.server.as_deref()).unwrap_or("a server");
            format!(
                "{server} answered {got}, after {}, by route {route} of edition {edition}",
                ms(tale.took_us)
            )
        }
        Some(Why::NoView) => format!("{got}, as this node had no table yet: see why without an id"),
        Some(Why::NoRoute) => {
            format!("{got}, as edition {edition} has no route for its host and path: see fleet routes")
        }
        Some(Why::Unconfirmed) => format!(
            "{got}, as edition {edition} has no route for its host and path, and no home has confirmed for a second that it \
             is the newest: see table_age_s in fleet"
        ),
        Some(Why::Behind) => format!(
            "{got}, as this node lacked for too long what its home knows: what was routed by may have been overtaken; see \
             view_age_seconds of its figures"
        ),
        Some(Why::NoKey) => format!(
            "{got}, as it had no key that edition {edition} knows, and {route} is not open: see its customer's stamps"
        ),
        Some(Why::Lapsed) => format!(
            "{got}, as no home has confirmed for too long that keys still hold: see view_age_seconds and the keepers"
        ),
        Some(Why::OverQuota) => format!("{got}, as its customer's rate and burst over all nodes are used up"),
        Some(Why::NoToken) => {
            format!(
                "{got}, as the home of its customer's quota did not answer in time: see quota_parts of the keepers"
            )
        }
        Some(Why::NoOperationKey) => {
            format!("{got}, as {route} is registered and it had no X-Idempotency-Key")
        }
        Some(Why::InWork) => format!("{got}, as another request carries out its operation at this moment"),
        Some(Why::Repeated) => format!("{got}, the answer of the first request of its operation"),
        Some(Why::Forgotten) => format!(
            "{got}, as another request had begun its operation, and what became of that is not known: it is not run again"
        ),
        Some(Why::Unclaimed) => format!(
            "{got}, as no majority of disks said that its operation was not begun elsewhere: see settled in status"
        ),
        Some(Why::NoServer) => {
            format!(
                "{got}, as no open server of {service} was known: all are drained, lost or not started; see fleet servers"
            )
        }
        Some(Why::NoRoom) => format!(
            "{got}, as each open server of {service} was asked already, works on all that it takes, or has no \
             connection left: add servers or raise line_cap"
        ),
        Some(Why::Gate) => format!(
            "{got}, as servers of {service} turn requests away and lower ranks are refused first: add servers"
        ),
        Some(Why::Laden) => {
            format!(
                "{got}, as this node's link is laden with large answers: the client was sent to another node"
            )
        }
        Some(Why::Budget) => {
            format!("{got}, as further tries of {service} had used up their budget (retry_ratio)")
        }
        Some(Why::Attempts) => format!("{got}, as route {route} allows no more attempts"),
        Some(Why::Connects) => {
            format!("{got}, as too many connections to {service} were in vain: see its servers")
        }
        Some(Why::Once) => format!("{got}, as it may have run, and route {route} forbids a second time"),
        Some(Why::Time) => format!("{got}, as its time was over after {}", ms(tale.took_us)),
        Some(Why::Broke) => format!(
            "its answer began with {got} and broke off after {}, so the connection to the client was closed",
            ms(tale.took_us)
        ),
        Some(Why::Unheard) => format!(
            "it ended with {got} after {}, for nobody: its client had closed the connection before",
            ms(tale.took_us)
        ),
        Some(Why::Abandoned) => format!("{got} after {}", ms(tale.took_us)),
        None => format!("{got}, for a reason that this build does not know: {}", tale.why),
    }
}

fn tries(tale: &Tale) -> impl Iterator<Item = String> {
    tale.tries.iter().filter(|one| one.end != "answered").map(|one| {
        let server = one.server.as_deref().unwrap_or("a server");
        match one.end.as_str() {
            "turned-away" => format!("{server} said that it did not run it"),
            "withdrawn" => format!("{server} was drained or lost before a byte had left"),
            "unreached" => format!("{server} could not be reached"),
            "other-server" => format!("at the address of {server} there is another one by now"),
            "silent" => format!("{server} said nothing for {}", ms(one.took_us)),
            "failed" => format!("{server} answered with a failure of its own"),
            "broke-before" => format!("the connection to {server} broke before a byte had left"),
            "answer-too-long" => format!("{server} answered with more than may be passed on; it ran"),
            "broke-after" => format!("{server} broke off or sent what is no answer; it may have run"),
            _ => format!("{server} was not waited for any longer"),
        }
    })
}

/// The table was old when the op ended.
fn stale(tale: &Tale) -> Option<String> {
    match tale.table_age_ms {
        Some(ms) if ms <= STALE_MS => None,
        Some(ms) => {
            Some(format!("The node was stale: its table had been confirmed {} before", age(Some(ms))))
        }
        None if tale.why == Why::NoView.word() => None,
        None => Some("The node was stale: no home had confirmed its table".into()),
    }
}
