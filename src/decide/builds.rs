//! Builds of tables. Called once at the end of each batch of news: what is marked is built from the state of
//! that moment and leaves as far as the pace allows, what hurries first.

use super::*;

/// How old what all tables have in common may be, if nothing marked them since.
const PLAN_OLD: Duration = Duration::from_secs(1);
/// How much later than others a message may arrive that left before them.
const TRAVEL: Duration = Duration::from_secs(1);
/// Changes of a line smaller than this part are not sent; a smaller part that joins makes no plan old.
const SAME: f64 = 0.04;

impl Known {
    pub(super) fn build_marked(&mut self, host: &mut impl Host) {
        let (now, terms, channel) = (self.now, PaceTerms::default(), self.set.channel);
        // Nothing is in the channel any more that has waited as long as its whole backlog takes.
        let whole = Duration::from_secs_f64(channel.backlog / channel.lines_per_s.max(1.0));
        self.out.pass(now, pace::rate(&channel, &terms), terms.answer, whole.max(terms.answer), TRAVEL);
        let mut wrote = false;
        // What cannot leave is not built: tables that wait for the limits are many when the fleet is large.
        let urgent = self.urgent(|p| !self.spent(p, p.hurry));
        // Each join moves what all tables share by little where they are many: a crowd does not work it out at
        // every one. Where they are few, one that takes over for a dead peer moves it by much.
        let last = if self.joins > 0 { TICK } else { PLAN_OLD };
        let joined = |p: &Plan| self.joins as f64 > SAME * p.dealt.len() as f64;
        let old = self.plan.as_ref().is_none_or(|p| now >= p.at + last || joined(p));
        if old && !(urgent.is_empty() && self.out.queue.is_empty()) {
            self.plan = Some(self.plan());
            self.joins = 0;
        }
        for id in urgent {
            let hurry = self.proxies[&id].hurry;
            if self.room_for(hurry) < channel.head {
                break;
            }
            let update = self.build(id);
            wrote |= self.send(host, id, update, hurry);
            if self.out.urgent.contains(&id) {
                break;
            }
        }
        while self.out.budget > 0.0
            && self.room_for(ORDINARY) > channel.head
            && let Some(id) = self.next_marked()
        {
            let update = self.build(id);
            self.wait(id, update);
            wrote |= self.flush_pending(host, id);
        }
        // In turn, from where the room ended last time: else the last of many would never leave.
        for id in self.out.pending_in_turn() {
            if self.room_for(ORDINARY) < channel.head {
                self.out.turn = id;
                break;
            }
            wrote |= self.flush_pending(host, id);
        }
        if wrote {
            host.ask_answer(self.out.next_stamp());
        }
    }

    fn build(&mut self, id: u32) -> Update {
        let mut update = Update::default();
        if let Some(mut plan) = self.plan.take_if(|plan| !plan.dealt.contains_key(&id)) {
            self.deal(&mut plan, id);
            self.plan = Some(plan);
        }
        let (Some(p), Some(plan)) = (self.proxies.get(&id), &self.plan) else { return update };
        for (server, part) in plan.parts(id) {
            let old = p.sent.lines.get(&server).copied().unwrap_or(0.0);
            update.lines.insert(server, weigh::settle(old, (part * 1e4).round().max(1.0) / 1e4, SAME));
        }
        for (t, share) in plan.shares.iter().enumerate() {
            let level = weigh::settle(p.sent.levels[t].0, self.level(p, t, *share), SAME);
            update.levels.push((level, self.retry(t)));
        }
        update
    }

    /// The pending build leaves once the update in flight is answered, or that answer is overdue.
    fn flush_pending(&mut self, host: &mut impl Host, id: u32) -> bool {
        let under_way = |p: &Proxy| p.in_flight.is_some_and(|f| self.now < f.1 + PaceTerms::default().answer);
        if self.proxies.get(&id).is_none_or(|p| self.spent(p, ORDINARY) || under_way(p)) {
            return false;
        }
        self.out.pending.remove(&id);
        let pending = self.proxies.get_mut(&id).and_then(|p| p.pending.take());
        pending.is_some_and(|update| self.send(host, id, update, ORDINARY))
    }

    fn spent(&self, p: &Proxy, hurry: usize) -> bool {
        let messages = p.messages_within(self.now, self.set.channel.messages_over);
        pace::spent(&self.set.channel, messages, hurry, &PaceTerms::default())
    }

    fn room_for(&self, hurry: usize) -> f64 {
        let (waiting, in_channel) = (self.out.waiting, self.out.in_channel);
        pace::room(&self.set.channel, waiting, in_channel, hurry, &PaceTerms::default())
    }

    /// Sends what an update changes. An urgent build voids the pending slot. What the limits hold back stays
    /// pending or urgent.
    fn send(&mut self, host: &mut impl Host, id: u32, update: Update, hurry: usize) -> bool {
        let room = self.room_for(hurry);
        let Some(p) = self.proxies.get_mut(&id) else { return false };
        let changes = p.changes(&update, p.in_flight.is_some() && hurry == ORDINARY);
        if changes.count == 0 {
            p.hurry = ORDINARY;
            self.out.urgent.remove(&id);
            return false;
        }
        let cost = changes.count as f64 + self.set.channel.head + 1.0;
        if cost > room {
            if hurry == ORDINARY {
                self.wait(id, update);
            }
            return false;
        }
        changes.tell(host, id, &update);
        p.write(self.now, self.out.stamp, cost, update, self.set.channel.messages_over);
        self.out.wrote(self.now, id, cost);
        true
    }
}
