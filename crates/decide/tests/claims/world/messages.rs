//! Requests for claims between agents, and their replies.

use apricothall_decide::claims::{ClaimReply, Progress};

use super::{Message, World, key_of};

impl World {
    pub(super) fn deliver(&mut self, index: usize) {
        match self.messages[index].clone() {
            Message::Ask(to, ask) => {
                let Some(agent) = self.agents.iter().position(|a| a.id == to) else {
                    return;
                };
                let clock = self.clock(self.agents[agent].offset);
                let reply = self.agents[agent].claims.handle_request(&ask, clock);
                self.messages.push(Message::Reply(reply));
                self.sent += 1;
            }
            Message::Reply(reply) => self.answer(&reply),
        }
    }

    fn answer(&mut self, reply: &ClaimReply) {
        let to = self.agents.iter().position(|a| a.id == reply.to.id);
        let agent = to.expect("known agent");
        let clock = self.clock(self.agents[agent].offset);
        let progress = self.agents[agent].claims.handle_reply(reply, clock);
        let mut keys = 0..self.keys.len();
        let key = keys.find(|k| key_of(*k) == reply.key).expect("known key");
        match progress {
            Progress::Run => self.keys[key].starts += 1,
            Progress::Refuse(denied) => self.refuse(key, denied),
            Progress::Wait => {}
        }
    }
}
