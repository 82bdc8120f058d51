//! Agents that count when pairs are formed: serving ones, and those that stopped without notice.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use apricothall_decide::quarantine::ServingHistory;
use apricothall_types::{
    Holding, HoldingState, Incarnation, Member, MemberState, Revision, Role, Sequence, Timestamp,
};

const MODEL: &str = "drafts";
const OTHER_MODEL: &str = "spans";

/// A member whose engine serves `model` according to its record.
fn agent(state: MemberState, model: Option<&str>) -> Member {
    let holding = |name: &str| Holding {
        name: name.parse().expect("valid name"),
        version: "1".parse().expect("valid version"),
        state: HoldingState::Serving,
    };
    Member {
        id: "engine-0".parse().expect("valid id"),
        incarnation: Incarnation(1),
        sequence: Sequence::default(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_100)),
        public: None,
        role: Role::Agent,
        region: "region".parse().expect("valid region"),
        zone: "zone".parse().expect("valid zone"),
        state,
        revision: Revision::default(),
        holdings: model.map(holding).into_iter().collect(),
    }
}

/// The agent is seen in these states, at these seconds; it is counted for [`MODEL`] at the end.
macro_rules! counted {
    ($($case:ident: $([$at:literal, $state:ident, $model:expr])+ => $expected:expr;)*) => {
        $(
        #[test]
        fn $case() {
            let mut history = ServingHistory::default();
            for (at, member) in [$(($at, agent(MemberState::$state, $model))),+] {
                let now = Timestamp::default() + Duration::from_secs(100 + at);
                history.record(&[member], now);
            }
            let agents = history.agents(&MODEL.parse().expect("valid name"));
            assert_eq!(agents.len(), $expected);
        })*
    };
}

counted! {
    serving_agent: [0, Alive, Some(MODEL)] => 1;
    agent_without_engine: [0, Alive, None] => 0;
    agent_whose_engine_stopped: [0, Alive, Some(MODEL)] [14, Alive, None] => 1;
    agent_whose_engine_stopped_long_ago: [0, Alive, Some(MODEL)] [15, Alive, None] => 0;
    agent_that_serves_another_model:
        [0, Alive, Some(MODEL)] [1, Alive, Some(OTHER_MODEL)] => 0;
    leaving_agent: [0, Alive, Some(MODEL)] [1, Leaving, Some(MODEL)] => 0;
    crashed_agent: [0, Alive, Some(MODEL)] [14, Gone, Some(MODEL)] => 1;
    // Guard against refusals because of agents that left or crashed long ago, whose last record
    // still says that they serve.
    agent_that_left_and_is_gone:
        [0, Alive, Some(MODEL)] [1, Leaving, Some(MODEL)] [2, Gone, Some(MODEL)] => 0;
    agent_that_crashed_long_ago:
        [0, Alive, Some(MODEL)] [8, Gone, Some(MODEL)] [15, Gone, Some(MODEL)] => 0;
}
