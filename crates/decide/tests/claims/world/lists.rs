//! VM lists, and agents that restart and read them.

use apricothall_types::{MemberId, Revision, Role, Timestamp, Vm, VmState};

use super::{LAG, LEASE, World, register};

impl World {
    pub(super) fn live(&mut self, span: u64, set: u8, age: u64) {
        for at in 0..=span {
            self.now += u64::from(at > 0);
            // The lists are read often enough to keep the lease.
            let due = at % (LEASE / 3) == 0 || at == span;
            let agents = (0..self.agents.len()).filter(|i| due && set & (1 << i) != 0);
            for i in agents {
                self.fetch(i, age);
                self.read(i);
            }
        }
    }

    pub(super) fn restart(&mut self, i: usize) {
        let agent = &self.agents[i];
        let incarnation = agent.incarnation + 1;
        let claims = self.boot(&agent.id, incarnation, agent.offset);
        let agent = &mut self.agents[i];
        agent.incarnation = incarnation;
        agent.claims = claims;
        agent.register = register(&agent.id, incarnation);
        agent.fetched = None;
    }

    pub(super) fn relist(&mut self, i: usize, listed: bool) {
        let (_, last) = self.lists.last().expect("never empty");
        let id = self.agents[i].id.clone();
        if last.vms.iter().any(|vm| vm.id == id) == listed {
            return;
        }
        let mut next = last.clone();
        next.revision = last.revision.next();
        next.vms.retain(|vm| vm.id != id);
        if listed {
            next.vms.push(vm(id, next.revision));
        }
        self.lists.push((self.now, next));
    }

    pub(super) fn fetch(&mut self, i: usize, age: u64) {
        let at = self.now.saturating_sub(age.min(LAG));
        let (_, list) = self.lists.iter().rfind(|(t, _)| *t <= at).expect("first");
        let asked = Timestamp::from_millis(self.now);
        self.agents[i].fetched = Some((list.clone(), asked));
    }

    pub(super) fn read(&mut self, i: usize) {
        let pool: Vec<_> = self.agents.iter().map(|a| a.id.clone()).collect();
        let clock = self.clock(self.agents[i].offset);
        let agent = &mut self.agents[i];
        if let Some((list, asked)) = agent.fetched.take() {
            agent.claims.view().observe(&list, &pool, asked, clock);
        }
    }
}

fn vm(id: MemberId, since: Revision) -> Vm {
    Vm {
        id,
        address: ([127, 0, 0, 1], 1).into(),
        role: Role::Agent,
        region: "r".parse().expect("valid region"),
        zone: "z".parse().expect("valid zone"),
        state: VmState::Live,
        since,
    }
}
