//! What an operator asks this node, answered from what it knows, and where that is not enough by asking others. It
//! only reads. Nothing here runs while nobody asks.

use crate::asks::Told;
use crate::engine::Engine;
use crate::words::Word;
use fallgap_admin::{self as desk, Answer, Errand, Node, Part, Question, Surveyed, Terms};
use fallgap_config::View;
use fallgap_control_state::{Answer as Called, OperationId};
use fallgap_membership::{Peer, State};
use fallgap_proxy::OperationState;
use fallgap_registry::State as Life;
use fallgap_routing::HealthState;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::mpsc::SyncSender;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const TERMS: Terms = Terms::USUAL;

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, ms)
}

/// Open servers of each service.
fn open(view: &View) -> BTreeMap<&str, u64> {
    let mut open = BTreeMap::new();
    view.berths.iter().for_each(|berth| *open.entry(&*berth.service).or_default() += 1);
    open
}

fn tell(reply: &SyncSender<Told>, answer: Answer) {
    // Whoever asked may have gone.
    let _ = reply.try_send(Told::Desk(answer));
}

impl Engine {
    /// An operator asks. Who cannot be answered now is told so by the silence of `reply`'s other end.
    pub fn desk_asked(&mut self, now: Duration, question: Question, reply: SyncSender<Told>) {
        let (errand, nodes) = match &question {
            Question::Servers { after } => {
                return tell(&reply, Answer::Servers(self.servers(now, after)));
            }
            Question::Routes { after } => return tell(&reply, Answer::Routes(self.routes(now, after))),
            Question::History => {
                let editions = self.history.told(now);
                let editions = desk::Editions { asked: Some(self.me), up_ms: ms(now), editions };
                return tell(&reply, Answer::Editions(editions));
            }
            Question::Fleet { after } => {
                let page = self.page(*after).0;
                (Errand::Standing, page.into_iter().filter(|node| self.may_answer(*node)).collect())
            }
            Question::Locks { after } => {
                let keeper = Some(self.me).filter(|_| self.keeper.is_member());
                let keeper =
                    keeper.or_else(|| self.follower.home()).or_else(|| self.keepers().first().copied());
                (Errand::Locks { after: after.clone() }, keeper.into_iter().collect::<Vec<_>>())
            }
            Question::Tales { id } => {
                let mut nodes = self.all_nodes();
                nodes.retain(|node| *node == self.me || self.may_answer(*node));
                nodes.truncate(TERMS.asked);
                (Errand::Tales { id: id.clone() }, nodes)
            }
            Question::Operation { id } => {
                let mut nodes = self.all_nodes();
                nodes.retain(|node| *node == self.me || self.may_answer(*node));
                nodes.truncate(TERMS.asked);
                (Errand::Operation { id: id.clone() }, nodes)
            }
        };
        let others: Vec<Ipv4Addr> = nodes.iter().copied().filter(|node| *node != self.me).collect();
        if others.is_empty() {
            let (parts, silent) = (Vec::new(), Vec::new());
            return self.surveyed(now, Surveyed { reply, question, parts, silent, waited: Duration::ZERO });
        }
        let busy = reply.clone();
        let Some(id) = self.surveys.came(now, reply, question, others.clone()) else {
            let _ = busy.try_send(Told::Answer(Called::Busy));
            return;
        };
        let Ok(errand) = postcard::to_stdvec(&errand) else { return };
        for node in others {
            self.say(now, node, Word::Survey { id, errand: errand.clone() });
        }
    }

    /// Another node asks for an operator. What cannot be read is of a later build: it is not answered.
    pub fn surveyed_by(&mut self, now: Duration, from: Ipv4Addr, id: u64, errand: &[u8]) {
        let Ok(errand) = postcard::from_bytes::<Errand>(errand) else { return };
        if let Ok(told) = postcard::to_stdvec(&self.part(now, errand)) {
            self.say(now, from, Word::Surveyed { id, told });
        }
    }

    /// Another node has answered.
    pub fn survey_heard(&mut self, now: Duration, from: Ipv4Addr, id: u64, told: &[u8]) {
        let part = postcard::from_bytes(told).ok();
        if let Some(over) = self.surveys.heard(now, id, from, part) {
            self.surveyed(now, over);
        }
    }

    pub fn surveys_woke(&mut self, now: Duration) {
        for over in self.surveys.woke(now) {
            self.surveyed(now, over);
        }
    }

    fn part(&self, now: Duration, errand: Errand) -> Part {
        match errand {
            Errand::Standing => Part::Standing(Box::new(self.standing(now))),
            Errand::Locks { after } => Part::Locks(self.locks(now, &after)),
            Errand::Tales { id } => Part::Tales(self.tales(now, id.as_deref())),
            Errand::Operation { id } => Part::Operation(self.operation_seen(&id)),
        }
    }

    /// All that will come has come.
    fn surveyed(&mut self, now: Duration, over: Surveyed<SyncSender<Told>>) {
        let Surveyed { reply, question, parts, silent, waited } = over;
        let answer = match question {
            Question::Fleet { after } => Answer::Fleet(self.fleet(now, after, parts, waited)),
            Question::Locks { after } => {
                let told = parts.into_iter().find_map(|(_, part)| match part {
                    Part::Locks(locks) => Some(locks),
                    _ => None,
                });
                let own = || self.keeper.is_member().then(|| self.locks(now, &after));
                Answer::Locks(told.or_else(own).unwrap_or_default())
            }
            Question::Tales { id } => {
                let mut tales = self.tales(now, id.as_deref());
                let answered = parts.len() as u64 + 1;
                for (_, part) in parts {
                    if let Part::Tales(more) = part {
                        tales.extend(more);
                    }
                }
                tales.sort_by_key(|tale| std::cmp::Reverse(tale.ago_ms));
                Answer::Tales(desk::Tales { asked: Some(self.me), answered, silent, tales })
            }
            Question::Operation { id } => {
                let answered = parts.len() as u64 + 1;
                let others = parts.into_iter().filter_map(|(_, part)| match part {
                    Part::Operation(seen) => Some(seen),
                    _ => None,
                });
                let mut seen: Vec<desk::OperationSeen> = others.chain([self.operation_seen(&id)]).collect();
                seen.retain(|seen| seen.begun.is_some() || seen.granted_to.is_some());
                seen.sort_by_key(|seen| seen.node);
                Answer::Operation(desk::Operation { asked: Some(self.me), answered, silent, seen })
            }
            Question::Servers { .. } | Question::Routes { .. } | Question::History => return,
        };
        tell(&reply, answer);
    }

    /// All known nodes with this one, by address.
    fn all_nodes(&self) -> Vec<Ipv4Addr> {
        let mut nodes: Vec<Ipv4Addr> = self.beacon.peers().map(|peer| peer.card.node).collect();
        nodes.push(self.me);
        nodes.sort_unstable();
        nodes
    }

    /// One page of them, and where the next begins.
    fn page(&self, after: Option<Ipv4Addr>) -> (Vec<Ipv4Addr>, Option<Ipv4Addr>) {
        let mut nodes = self.all_nodes();
        nodes.retain(|node| after.is_none_or(|after| *node > after));
        let more = nodes.len() > TERMS.nodes;
        nodes.truncate(TERMS.nodes);
        let next = nodes.last().copied().filter(|_| more);
        (nodes, next)
    }

    fn may_answer(&self, node: Ipv4Addr) -> bool {
        self.beacon.peer(node).is_some_and(|peer| peer.state != State::Gone)
    }

    fn fleet(
        &self, now: Duration, after: Option<Ipv4Addr>, parts: Vec<(Ipv4Addr, Part)>, waited: Duration,
    ) -> desk::Fleet {
        let mut standings: BTreeMap<Ipv4Addr, desk::Standing> = parts
            .into_iter()
            .filter_map(|(node, part)| match part {
                Part::Standing(standing) => Some((node, *standing)),
                _ => None,
            })
            .collect();
        let (page, next) = self.page(after);
        let nodes = page.into_iter().filter_map(|node| {
            if node == self.me {
                return Some(self.own_node(now));
            }
            self.beacon.peer(node).map(|peer| node_of(now, peer, standings.remove(&node)))
        });
        desk::Fleet { asked: Some(self.me), waited_ms: ms(waited), nodes: nodes.collect(), next }
    }

    fn own_node(&self, now: Duration) -> Node {
        Node {
            node: self.me,
            zone: self.settings.zone.to_string(),
            disk: self.disk.is_some(),
            state: "here".into(),
            since_ms: ms(now),
            leaving: self.leaving.is_some(),
            standing: Some(self.standing(now)),
        }
    }

    /// How this node stands.
    fn standing(&self, now: Duration) -> desk::Standing {
        let view = self.view.as_deref();
        let counters = self.quay.as_ref().map(|quay| quay.counters()).unwrap_or_default();
        desk::Standing {
            name: self.settings.node.to_string(),
            up_ms: ms(now),
            wall_ms: wall_ms(),
            edition: view.map_or(0, |view| view.configuration.edition),
            servers: view.map_or(0, |view| view.berths.len() as u64),
            supervisors: self.beacon.here() as u64,
            home: self.follower.home(),
            table_age_ms: self.follower.age(now).map(ms),
            epoch: self.keeper.epoch(),
            keepers: self.keeper.members(),
            disk: self.disk.is_some(),
            keeper: self.keeper.is_member(),
            settled: self.keeper.is_settled(now),
            refusing: self.disk.as_ref().is_some_and(|disk| disk.refusing.load(Relaxed)),
            ready: self.ready.load(Relaxed),
            leaving: self.leaving.is_some(),
            at_work: self.quay.as_ref().map_or(0, |quay| quay.at_work() as u64),
            tolerate: self.settings.tolerate_machines,
            bare: view.map(bare).unwrap_or_default(),
            requests: counters.requests,
            passed: counters.passed,
            no_route: counters.no_route,
            not_run: counters.not_run,
            unknown: counters.unknown,
            late: counters.late,
        }
    }

    /// One page of servers: those of the table, and on a keeper all whose lives it knows.
    fn servers(&self, now: Duration, after: &str) -> desk::Servers {
        let berths = self.view.iter().flat_map(|view| &view.berths).filter(|berth| &*berth.id > after);
        let mut rows: BTreeMap<Arc<str>, desk::Server> = BTreeMap::new();
        for berth in berths.take(TERMS.rows + 1) {
            rows.insert(berth.id.clone(), self.server(now, berth));
        }
        if let Some(hub) = &self.hub {
            for life in hub.registry.after(after).take(TERMS.rows + 1) {
                let row = rows
                    .entry(life.beat.id.clone())
                    .or_insert_with(|| desk::Server { weight: None, ..self.server(now, &life.berth()) });
                row.state = life_word(life.state).into();
                row.heard_ms = Some(ms(now.saturating_sub(life.heard)));
            }
        }
        let more = rows.len() > TERMS.rows;
        let servers: Vec<desk::Server> = rows.into_values().take(TERMS.rows).collect();
        desk::Servers {
            asked: Some(self.me),
            edition: self.view.as_ref().map_or(0, |view| view.configuration.edition),
            table_age_ms: self.follower.age(now).map(ms),
            keeper: self.hub.is_some(),
            next: servers.last().filter(|_| more).map(|server| server.id.clone()),
            servers,
        }
    }

    fn server(&self, now: Duration, berth: &fallgap_config::Berth) -> desk::Server {
        let seen = self.quay.as_ref().and_then(|quay| quay.fleet().named(&berth.id, berth.address));
        let word = |state: HealthState| match state {
            HealthState::Well { .. } => "well",
            HealthState::Avoided { until } if now < until => "avoided",
            HealthState::Avoided { .. } | HealthState::Trial { .. } => "trial",
            HealthState::Gone => "gone",
        };
        desk::Server {
            id: berth.id.to_string(),
            service: berth.service.to_string(),
            address: berth.address.to_string(),
            zone: berth.zone.to_string(),
            slots: berth.slots,
            weight: Some(berth.weight),
            state: "open".into(),
            heard_ms: None,
            health: seen.map(|seen| word(seen.health().state()).to_owned()),
            at_work: seen.map_or(0, |seen| seen.at_work()),
            usual_ms: seen.and_then(|seen| seen.typical()).map(|usual| usual.as_secs_f64() * 1e3),
        }
    }

    fn routes(&self, now: Duration, after: &str) -> desk::Routes {
        let Some(view) = &self.view else {
            return desk::Routes { asked: Some(self.me), ..desk::Routes::default() };
        };
        let open = open(view);
        let after = after.split_at(after.find('/').unwrap_or(after.len()));
        let configuration = &view.configuration;
        let behind = |r: &&fallgap_config::Route| (&*r.depot, &*r.lane_prefix) > after;
        let mut rest = configuration.routes.iter().filter(behind);
        let page: Vec<&fallgap_config::Route> = rest.by_ref().take(TERMS.rows).collect();
        let more = rest.next().is_some();
        let next = page.last().filter(|_| more).map(|route| format!("{}{}", route.depot, route.lane_prefix));
        let target = |(service, share): &(Arc<str>, f64)| desk::Target {
            service: service.to_string(),
            share: *share,
            open: open.get(&**service).copied().unwrap_or(0),
        };
        let row = |route: &fallgap_config::Route| desk::Route {
            name: route.name.to_string(),
            host: route.depot.to_string(),
            prefix: route.lane_prefix.to_string(),
            class: route.class.word().into(),
            timeout_ms: ms(route.timeout),
            target_ms: ms(route.target),
            priority: route.priority,
            attempts: route.attempts,
            services: route.sorting.iter().map(target).collect(),
        };
        desk::Routes {
            asked: Some(self.me),
            edition: configuration.edition,
            table_age_ms: self.follower.age(now).map(ms),
            routes: page.into_iter().map(row).collect(),
            next,
        }
    }

    fn locks(&self, now: Duration, after: &str) -> desk::Locks {
        let mut seen = self.keeper.locks(now, after, TERMS.rows + 1);
        let more = seen.len() > TERMS.rows;
        seen.truncate(TERMS.rows);
        let next = seen.last().filter(|_| more).map(|lock| lock.name.clone());
        let lock = |lock: fallgap_control_state::LockSeen| desk::Lock {
            name: lock.name,
            holder: lock.holder,
            fence: lock.fence,
            left_ms: ms(lock.left),
        };
        let locks = seen.into_iter().map(lock).collect();
        desk::Locks { keeper: Some(self.me), settled: self.keeper.is_settled(now), locks, next }
    }

    /// What this node knows of an operation.
    fn operation_seen(&self, id: &str) -> desk::OperationSeen {
        let operation = OperationId::from_digits(id);
        let begun = operation.and_then(|id| self.quay.as_ref()?.operation_begun(id));
        let begun = begun.map(|state| match state {
            OperationState::InWork => "in work".to_owned(),
            OperationState::Answered(answer) => format!("answered {}", answer.status),
            OperationState::GivenUp => "given up".to_owned(),
            OperationState::Unknown | OperationState::NotHere => "outcome unknown".to_owned(),
        });
        let granted_to = operation.and_then(|id| self.keeper.granted(id)).map(|attempt| attempt.node);
        desk::OperationSeen { node: self.me, begun, granted_to }
    }

    fn tales(&self, now: Duration, id: Option<&str>) -> Vec<desk::Tale> {
        let tales = self.quay.iter().flat_map(|quay| quay.tales(now, id, TERMS.tales));
        let us = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let one = |one: fallgap_proxy::TryTale| desk::Try {
            server: one.server.map(|server| server.to_string()),
            began_us: us(one.began),
            took_us: us(one.took),
            end: one.end.into(),
        };
        let tale = |tale: fallgap_proxy::Tale| desk::Tale {
            node: self.me,
            id: tale.id,
            status: tale.status,
            why: tale.why.word().into(),
            ago_ms: ms(tale.ago),
            took_us: us(tale.took),
            edition: tale.edition,
            route: tale.route.map(|route| route.to_string()),
            service: tale.service.map(|service| service.to_string()),
            table_age_ms: tale.table_age.map(ms),
            tries: tale.tries.into_iter().map(one).collect(),
            more_tries: tale.more,
        };
        tales.map(tale).collect()
    }
}

fn life_word(state: Life) -> &'static str {
    match state {
        Life::Open => "open",
        Life::Lost => "lost",
        Life::Closing => "closing",
        Life::Gone => "gone",
    }
}

fn node_of(now: Duration, peer: &Peer, standing: Option<desk::Standing>) -> Node {
    let state = match peer.state {
        State::Here => "here",
        State::Doubted => "doubted",
        State::Gone => "gone",
    };
    Node {
        node: peer.card.node,
        zone: peer.card.zone.to_string(),
        disk: peer.card.disk.is_some(),
        state: state.into(),
        since_ms: ms(now.saturating_sub(peer.since)),
        leaving: peer.card.leaving,
        standing,
    }
}

/// Services that routes lead to and that have no open server, the first few by name.
fn bare(view: &View) -> Vec<String> {
    let open = open(view);
    let routed: BTreeSet<&str> =
        view.configuration.routes.iter().flat_map(|route| &route.sorting).map(|(name, _)| &**name).collect();
    let bare = routed.into_iter().filter(|service| !open.contains_key(service));
    bare.take(TERMS.bare).map(str::to_owned).collect()
}
