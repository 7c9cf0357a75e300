//! Carries out what the cores hand back, and hands on what supervisors say to each other.

use crate::ages::Stamp;
use crate::asks::Told;
use crate::calls::{self, Caller, Step};
use crate::disk::Work;
use crate::engine::Engine;
use crate::words::Word;
use fallgap_config::Beat;
use fallgap_control_state::{Answer, Call, Key, Out as KeeperOut, subjects};
use fallgap_health::{KINDS, Out as LightOut, Verdict};
use fallgap_membership::{Out as BeaconOut, State};
use fallgap_proxy::OperationState;
use fallgap_registry::{
    FollowerOut, Knows, LeaseQuestion, Out as RosterOut, Outcome, RosterWord, ServerReport, Told as TableTold,
};
use fallgap_routing::Place;
use fallgap_tenants::Ledger;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::mpsc::SyncSender;
use std::time::Duration;

impl Engine {
    /// Until no core has anything more to hand back.
    pub fn carry(&mut self, now: Duration) {
        loop {
            let mut more = self.carry_beacon(now);
            more |= self.carry_keeper(now);
            more |= self.carry_roster(now);
            more |= self.carry_admission(now);
            while let Some(word) = self.own.pop_front() {
                more = true;
                self.heard(now, self.me, word);
            }
            if !more {
                break;
            }
        }
        self.links.flush(now, self.poll.registry());
    }

    pub fn say(&mut self, now: Duration, to: Ipv4Addr, word: Word) {
        if to == self.me {
            self.own.push_back(word);
        } else {
            self.links.say(now, self.poll.registry(), to, &word);
        }
    }

    /// A follower of this home is told.
    fn tell(&mut self, now: Duration, to: Ipv4Addr, told: &TableTold) {
        let Some(hub) = self.hub.as_mut().filter(|_| to != self.me) else {
            return self.say(now, to, Word::Roster(RosterWord::told(told)));
        };
        let line = hub.distribution.line(told);
        self.links.tell(now, self.poll.registry(), to, &line);
    }

    fn carry_beacon(&mut self, now: Duration) -> bool {
        let outs = self.beacon.take();
        let any = !outs.is_empty();
        let mut changed = false;
        for out in outs {
            match out {
                BeaconOut::Send(to, message) => {
                    if let Ok(bytes) = postcard::to_stdvec(&message) {
                        let _ =
                            self.datagrams.send_to(&bytes, SocketAddr::V4(SocketAddrV4::new(to, self.port)));
                    }
                }
                BeaconOut::Changed => changed = true,
                BeaconOut::Note(line) => tracing::info!("{line}"),
            }
        }
        if changed {
            self.view_changed(now);
        }
        any
    }

    fn carry_keeper(&mut self, now: Duration) -> bool {
        let outs = self.keeper.take();
        let any = !outs.is_empty();
        for out in outs {
            match out {
                KeeperOut::Send(to, message) => self.say(now, to, Word::Keeper(message)),
                KeeperOut::Log { number, record } => {
                    self.disk.iter().for_each(|d| _ = d.work.send(Work::Record(number, record.clone())));
                }
                KeeperOut::Answer(id, answer) => self.answered(now, self.me, id, answer),
                KeeperOut::Committed { key: Key::Config, value } => self.configured(now, &value),
                KeeperOut::Committed { key: Key::Accounts, value } => self.accounted(now, &value),
                KeeperOut::Committed { key: Key::ServerEnds, value } => {
                    self.hub.iter_mut().for_each(|hub| hub.servers_ended(now, &value));
                }
                KeeperOut::Committed { .. } => {}
                KeeperOut::Voted { from, number, epoch, quorum, vote } => {
                    self.quay.iter_mut().for_each(|quay| quay.voted(now, from, number, epoch, quorum, vote));
                }
                KeeperOut::Note(line) => tracing::info!("{line}"),
            }
        }
        if any && self.keeper.ends_read_since().is_some() {
            self.hub.iter_mut().for_each(|hub| hub.ends_are_read(now));
        }
        any
    }

    /// A configuration is committed.
    fn configured(&mut self, now: Duration, value: &[u8]) {
        let Some(body) = subjects::config_body(Some(value)) else { return };
        let edition = subjects::config_edition(Some(value));
        // An edition has one content: only what is remembered beside it is new.
        if edition <= self.configured {
            return;
        }
        match fallgap_config::read_configuration(body) {
            Ok(configuration) => {
                self.configured = edition;
                if let Some(hub) = &mut self.hub {
                    hub.committed(now, configuration, body);
                }
            }
            Err(faults) => tracing::error!("gateway: a committed configuration cannot be read: {faults}"),
        }
    }

    /// A revision of the accounts is committed.
    fn accounted(&mut self, now: Duration, value: &[u8]) {
        let Some(body) = subjects::accounts_body(Some(value)) else { return };
        match Ledger::decode(body) {
            Ok(ledger) => self.hub.iter_mut().for_each(|hub| hub.accounted(now, ledger.clone(), body)),
            Err(unreadable) => tracing::error!("gateway: committed accounts: {unreadable}"),
        }
    }

    /// All supervisors are told of a revision that is kept.
    pub fn spread(&mut self, now: Duration, reply: SyncSender<Told>, revision: u64, places: &[Place]) {
        let there = self.beacon.peers().filter(|peer| peer.state != State::Gone).map(|peer| peer.card.node);
        let mut nodes: Vec<Ipv4Addr> = there.filter(|node| *node != self.me).collect();
        nodes.push(self.me);
        let Some(id) = self.spread.begin(now, reply, &nodes) else { return };
        for node in nodes {
            self.say(now, node, Word::Heed { id, revision, places: places.to_vec() });
        }
    }

    fn carry_roster(&mut self, now: Duration) -> bool {
        let mut any = false;
        if let Some(hub) = &mut self.hub {
            let words = hub.registry.take();
            let outs = hub.distribution.take();
            any |= !words.is_empty() || !outs.is_empty();
            for (to, word) in words {
                self.say(now, to, Word::Roster(word));
            }
            for out in outs {
                match out {
                    RosterOut::Holders { to, id, holders, age } => {
                        self.say(now, to, Word::Roster(RosterWord::Holders { id, holders, age }));
                    }
                    RosterOut::Lease { to, question, knows } => self.answer_lease(now, to, question, knows),
                    RosterOut::Tell(to, told) => self.tell(now, to, &told),
                    RosterOut::Unfit(to) => self.say(now, to, Word::Roster(RosterWord::Unfit)),
                    RosterOut::Fit(to) => self.say(now, to, Word::Roster(RosterWord::Fit)),
                    RosterOut::Note(line) => tracing::info!("{line}"),
                }
            }
        }
        any |= self.carry_ends(now);
        any |= self.carry_lights(now);
        any |= self.carry_rollouts(now);
        let outs = self.follower.take();
        any |= !outs.is_empty();
        for out in outs {
            match out {
                FollowerOut::Join(to, said) => self.say(now, to, Word::Roster(RosterWord::join(&said))),
                FollowerOut::Say(to, said) => self.say(now, to, Word::Roster(RosterWord::said(&said))),
                FollowerOut::WantLease(home, question) => {
                    self.say(now, home, Word::Roster(RosterWord::LeaseWanted(question)));
                }
                FollowerOut::Leave(home) => self.say(now, home, Word::Roster(RosterWord::Leave)),
                FollowerOut::NewView(view) => {
                    self.history.took(now, &view.configuration, crate::desk::wall_ms);
                    for (to, id) in self.spread.holds(view.configuration.revision()) {
                        self.say(now, to, Word::Heeded { id, in_force: true });
                    }
                    self.rollouts.in_force(now, view.configuration.edition);
                    self.view = Some(view.clone());
                    self.quay.iter_mut().for_each(|quay| quay.view(now, view.clone()));
                    self.see_whether_ready(now);
                }
                FollowerOut::Note(line) => tracing::info!("{line}"),
            }
        }
        any
    }

    /// Supervisors that wait for the word on a server's end are told. Who is cut off from the majority does not count among
    /// those that know.
    fn carry_ends(&mut self, now: Duration) -> bool {
        let due = self.hub.as_mut().map(|hub| hub.ends_due(now)).unwrap_or_default();
        let any = !due.is_empty();
        if any && self.keeper.in_contact(now) {
            let followed = self.keeper.may_be_followed(now);
            for (to, id) in due {
                self.say(now, to, Word::BeatTaken { id, followed: followed.clone() });
            }
        }
        any
    }

    /// A follower is told what this home knows, and how old that knowledge is.
    fn answer_lease(&mut self, now: Duration, to: Ipv4Addr, question: LeaseQuestion, knows: Knows) {
        if let Some(since) = self.keeper.configuration_read_since() {
            let read_age = now.saturating_sub(since);
            self.say(now, to, Word::Roster(RosterWord::Lease { question, knows, read_age }));
        }
    }

    /// Questions to homes, and answers to operators.
    fn carry_rollouts(&mut self, now: Duration) -> bool {
        let words = self.rollouts.take();
        let over = self.rollouts.take_over();
        let any = !words.is_empty() || !over.is_empty();
        for (to, word) in words {
            self.say(now, to, Word::Roster(word));
        }
        for (reply, edition, outcome) in over {
            if let Outcome::Waited { missing } = &outcome {
                self.acknowledged_early += 1;
                tracing::info!(
                    "rollout: edition {edition} is acknowledged, {} have not said that they hold it",
                    named(missing)
                );
            }
            let _ = reply.try_send(Told::RolledOut(outcome));
        }
        any
    }

    /// What the list of lights has for others.
    fn carry_lights(&mut self, now: Duration) -> bool {
        let Some(hub) = &mut self.hub else { return false };
        let outs = hub.lights.take_out();
        let followers: Vec<Ipv4Addr> =
            if outs.is_empty() { Vec::new() } else { hub.distribution.followers().collect() };
        let any = !outs.is_empty();
        for out in outs {
            match out {
                LightOut::Keeper(to, word) => self.say(now, to, Word::Roster(RosterWord::Lights(word))),
                LightOut::Followers(word) => {
                    for to in &followers {
                        self.say(now, *to, Word::Roster(RosterWord::Lights(word.clone())));
                    }
                }
                LightOut::Note(line) => tracing::info!("{line}"),
            }
        }
        any
    }

    /// A supervisor, perhaps this one, has said something.
    pub fn heard(&mut self, now: Duration, from: Ipv4Addr, word: Word) {
        if from != self.me {
            self.follower.met(now);
            self.beacon.met(now, from);
        }
        match word {
            Word::Hello(_) => {}
            Word::Keeper(message) => self.keeper.heard(now, from, message),
            Word::Roster(word) => self.roster(now, from, word),
            Word::Forward { id, stamp, call } => {
                let age = self.ages.age(now, from, &stamp);
                if self.hold_up.turns_away(now, &call) {
                    return self.say(now, from, Word::Forwarded { id, answer: Answer::Busy });
                }
                let caller = Caller::There(from, id);
                let me = [self.me];
                let steps = self.calls.came_aged(now, self.me, caller, call, &me, age);
                steps.into_iter().for_each(|step| self.step(now, step));
            }
            Word::Forwarded { id, answer } => self.answered(now, from, id, answer),
            Word::Withdraw { id } => {
                let steps = self.calls.withdrawn(now, self.me, from, id);
                steps.into_iter().for_each(|step| self.step(now, step));
            }
            Word::Beat { id, beat } => {
                let server = beat.id.clone();
                self.roster(now, from, RosterWord::Beat(beat));
                if id > 0 {
                    self.hub.iter_mut().for_each(|hub| hub.owe_end(now, from, id, server.clone()));
                }
            }
            Word::BeatTaken { id, followed } => self.beats.taken(id, from, &followed),
            Word::Survey { id, errand } => self.surveyed_by(now, from, id, &errand),
            Word::Surveyed { id, told } => self.survey_heard(now, from, id, &told),
            Word::Heed { id, revision, places } => {
                let held = self.view.as_ref().is_some_and(|view| view.configuration.revision() >= revision);
                let routed = self.quay.as_mut().is_some_and(|quay| quay.heed(now, revision, places));
                if !held {
                    self.spread.owe(from, id, revision);
                }
                self.say(now, from, Word::Heeded { id, in_force: held || routed });
            }
            Word::Heeded { id, in_force } => self.spread.heeded(now, id, from, in_force),
            Word::OperationAsked { number, operation, attempt } => {
                let state = self.quay.as_ref().map(|quay| quay.operation_state(operation, attempt));
                let state = state.unwrap_or(OperationState::NotHere);
                self.say(now, from, Word::OperationTold { number, state });
            }
            Word::OperationTold { number, state } => {
                self.quay.iter_mut().for_each(|quay| quay.owner_told(now, number, &state));
            }
            Word::QuotaAsked(asks) => self.quota_asked(now, from, &asks),
            Word::QuotaGranted(grants) => self.quota_granted(now, from, &grants),
            Word::NotQuotaHome(customers) => self.not_quota_home(from, &customers),
        }
    }

    pub fn step(&mut self, now: Duration, step: Step) {
        match step {
            Step::Run(id, call, waited) => self.keeper.call_since(now, id, call, now.saturating_sub(waited)),
            Step::Ask(to, id, call, waited) => {
                let stamp = Stamp::new(self.life, now, waited);
                self.say(now, to, Word::Forward { id, stamp, call });
            }
            Step::Stop(id, key) => self.keeper.withdraw(now, id, &key),
            Step::Withdraw(to, id) => self.say(now, to, Word::Withdraw { id }),
            Step::Answer(Caller::Here(reply), answer) => {
                let _ = reply.try_send(Told::Answer(answer));
            }
            Step::Answer(Caller::There(to, id), answer) => self.say(now, to, Word::Forwarded { id, answer }),
            Step::Answer(Caller::End(id), answer) => self.beats.kept(id, answer),
            Step::Answer(Caller::Quota(shard), answer) => self.quotas.answered(now, shard, &answer),
        }
    }

    fn answered(&mut self, now: Duration, from: Ipv4Addr, id: u64, answer: Answer) {
        let alive = self.keepers();
        let order = |key: &Key| calls::by_key(key, alive.clone());
        let steps = self.calls.answered(now, self.me, from, id, answer, order);
        steps.into_iter().for_each(|step| self.step(now, step));
    }

    /// A server beats here: all keepers are told. One that closes is acknowledged when its end is on a majority of disks, and
    /// all keepers that others may go by know, a majority at least.
    pub fn beat(&mut self, now: Duration, beat: Beat, reply: SyncSender<Told>) {
        let keepers = self.keepers();
        // The majority may not hear of it from here: the server calls another supervisor.
        if self.hub.as_ref().is_some_and(|hub| !hub.takes_beats(now)) {
            let _ = reply.try_send(Told::Answer(Answer::Busy));
            for keeper in keepers {
                self.say(now, keeper, Word::Beat { id: 0, beat: beat.clone() });
            }
            return;
        }
        let id = if beat.closing {
            let Some(id) = self.beats.closing(now, beat.clone(), reply, &keepers) else { return };
            self.keep_end(now, id, &beat.id);
            id
        } else {
            if !keepers.is_empty() {
                let _ = reply.try_send(Told::Taken);
            }
            0
        };
        for keeper in keepers {
            self.say(now, keeper, Word::Beat { id, beat: beat.clone() });
        }
    }

    /// Has the end of a server put on a majority of disks.
    fn keep_end(&mut self, now: Duration, id: u64, server: &str) {
        let call = Call::ServerEnd { server: server.to_owned() };
        let order = calls::by_key(&call.key(), self.keepers());
        let steps = self.calls.came(now, self.me, Caller::End(id), call, &order);
        steps.into_iter().for_each(|step| self.step(now, step));
    }

    /// Tells the home what servers did.
    pub fn report(&mut self, now: Duration) {
        let Some(quay) = &mut self.quay else { return };
        let report =
            |r: fallgap_proxy::Report| ServerReport { server: r.server, kinds: r.kinds, good_ms: r.good_ms };
        let reports: Vec<ServerReport> = quay.reports(now).into_iter().map(report).collect();
        if let Some(home) = self.follower.home()
            && !reports.is_empty()
        {
            self.say(now, home, Word::Roster(RosterWord::Report(reports)));
        }
    }

    /// What this supervisor was told of servers: a line for each, and none if all are well.
    pub fn verdicts(&self, now: Duration) -> String {
        let Some(quay) = &self.quay else { return "[]".into() };
        let told = |verdict: Verdict| {
            let kinds = KINDS.map(|kind| {
                let (stand, why) = (verdict.stands[kind as usize], verdict.reasons[kind as usize]);
                format!("\"{}\":{{\"stand\":\"{}\",\"why\":\"{why}\"}}", kind.name(), stand.name())
            });
            let (number, since) = (verdict.number, f64::from(verdict.age_ms) / 1e3);
            let server = sonic_rs::to_string(&*verdict.server).unwrap_or_default();
            format!("{{\"server\":{server},\"number\":{number},\"since_s\":{since:.1},{}}}", kinds.join(","))
        };
        format!("[{}]", quay.fleet().book().verdicts(now).map(told).collect::<Vec<_>>().join(",\n "))
    }

    /// What an operator sees of this supervisor.
    pub fn status(&self, now: Duration) -> String {
        let edition = self.view.as_ref().map_or(0, |v| v.configuration.edition);
        let accounts = self.view.as_ref().map_or(0, |v| v.configuration.revision());
        let servers = self.view.as_ref().map_or(0, |v| v.berths.len());
        let list =
            |nodes: Vec<Ipv4Addr>| nodes.iter().map(|n| format!("\"{n}\"")).collect::<Vec<_>>().join(",");
        let home = self.follower.home().map_or("null".into(), |h| format!("\"{h}\""));
        format!(
            "{{\"node\":\"{}\",\"edition\":{edition},\"accounts\":{accounts},\"servers\":{servers},\"supervisors\":{},\"home\":{home},\
             \"table_age_s\":{:.1},\"epoch\":{},\"keepers\":[{}],\"keeper\":{},\"settled\":{},\"at_work\":{}}}",
            self.settings.node,
            self.beacon.here(),
            self.follower.age(now).map_or(-1.0, |age| age.as_secs_f64()),
            self.keeper.epoch(),
            list(self.keeper.members()),
            self.keeper.is_member(),
            self.keeper.is_settled(now),
            self.quay.as_ref().map_or(0, |q| q.at_work()),
        )
    }
}

/// A few supervisors by name, and how many more there are.
fn named(nodes: &[Ipv4Addr]) -> String {
    const MOST: usize = 8;
    let names: Vec<String> = nodes.iter().take(MOST).map(Ipv4Addr::to_string).collect();
    match nodes.len().saturating_sub(MOST) {
        0 => names.join(", "),
        more => format!("{} and {more} more", names.join(", ")),
    }
}
