//! Calls at entries, orders at agents, and tickets.

use std::time::Duration;

use apricothall_decide::claims::{Denial, OrderDecision};
use apricothall_decide::dedupe::{Binding, Choice, Home, Order, RegisterDecision, Ticket, choose};
use apricothall_types::{Catalogue, CatalogueEntry, Digest, Incarnation, MemberState, Outcome};
use apricothall_types::{RequestId, Timestamp, WallTime};

use super::{DEADLINE, HORIZON, KeyRecord, Message, RETRIES, World, home, key_of};

impl World {
    pub(super) fn ticket(&mut self, i: usize) {
        let agent = &self.agents[i];
        let ticket = Ticket {
            home: home(&agent.id, agent.incarnation),
            name: "booking".parse().expect("valid name"),
            expires: WallTime(self.now + HORIZON / 2),
        };
        self.keys.push(KeyRecord {
            birth: self.now,
            ticket: Some(ticket),
            ..KeyRecord::default()
        });
    }

    pub(super) fn call(&mut self, seen: u8, lag: u64, key: usize, with: usize) {
        let own = self.keys[key].ticket.clone();
        let text = own.as_ref().map_or(String::new(), Ticket::prefix) + &key.to_string();
        let ticket = match with % 3 {
            0 => None,
            1 => own,
            _ => self.keys[with % self.keys.len()].ticket.clone(),
        };
        let text = text.parse().expect("valid key");
        let choice = choose(&self.entry(), Some(&text), ticket.as_ref(), |id| {
            let at = self.agents.iter().position(|a| a.id == *id)?;
            let incarnation = self.agents[at].incarnation.saturating_sub(lag);
            let visible = seen & (1 << at) != 0;
            visible.then_some((Incarnation(incarnation), MemberState::Alive))
        });
        match choice {
            Choice::Run(home, Binding::Claims) => {
                let at = self.agents.iter().position(|a| a.id == home.id);
                self.order(at.expect("known agent"), key);
            }
            Choice::Run(home, Binding::Ticket) => {
                self.admit(home, key, ticket.expect("given").expires);
            }
            Choice::Refuse(_, outcome) => self.keys[key].not_run |= outcome == Outcome::NotRun,
            Choice::Ask(_) | Choice::Any => unreachable!("agents are alive, calls run once"),
        }
    }

    fn admit(&mut self, home: Home, key: usize, expires: WallTime) {
        let at = self.agents.iter().position(|a| a.id == home.id);
        let at = at.expect("known agent");
        let clock = self.clock(self.agents[at].offset);
        let order = Order {
            home,
            key: key_of(key),
            fingerprint: Digest([0; 32]),
            request: RequestId(0),
            deadline: clock.now + Duration::from_millis(1),
            expires,
        };
        match self.agents[at].register.admit(&order, clock) {
            RegisterDecision::Run => self.keys[key].starts += 1,
            RegisterDecision::Refuse(why) => {
                self.keys[key].not_run |= why.outcome() == Outcome::NotRun;
            }
            _ => {}
        }
    }

    fn entry(&self) -> CatalogueEntry {
        let pool: Vec<_> = self.agents.iter().map(|a| a.id.as_str()).collect();
        let text = format!(
            "[[entries]]\nname = \"booking\"\nkind = \"service\"\nowner = \"o\"\nreplicas = 1\n\
             repeatable = false\npool = {pool:?}\n"
        );
        Catalogue::parse(&text).expect("valid").entries.remove(0)
    }

    pub(super) fn order(&mut self, i: usize, key: usize) {
        let seen = &mut self.keys[key];
        let first = *seen.first.get_or_insert(self.now);
        if seen.opaque && self.now > first + RETRIES {
            return;
        }
        self.orders += 1;
        let birth = (!seen.opaque).then_some(WallTime(seen.birth));
        let clock = self.clock(self.agents[i].offset);
        let deadline = Timestamp::from_millis(self.now + DEADLINE);
        let claims = &mut self.agents[i].claims;
        match claims.handle_order(key_of(key), birth, deadline, clock) {
            OrderDecision::Run => self.keys[key].starts += 1,
            OrderDecision::Refuse(denied) => self.refuse(key, denied),
            OrderDecision::Known => *self.refused.entry("Known".into()).or_default() += 1,
            OrderDecision::RequestClaims(ask, ids) => {
                let asks = ids.into_iter().map(|id| Message::Ask(id, ask.clone()));
                let before = self.messages.len();
                self.messages.extend(asks);
                self.sent += (self.messages.len() - before) as u64;
            }
        }
    }

    pub(super) fn refuse(&mut self, key: usize, denied: Denial) {
        *self.refused.entry(format!("{denied:?}")).or_default() += 1;
        self.keys[key].not_run |= denied.outcome() == Outcome::NotRun;
    }
}
