//! Prefix caching: the prefill time that a replica saves is weighed against the wait there.

use std::collections::BTreeSet;
use std::num::NonZeroU32;
use std::time::Duration;

use apricothall_decide::configs::RoutingConfig;
use apricothall_decide::routing::{
    CacheEvent, Cause, Choice, Distance, EngineStart, Prefix, PromptAttempt, PromptPrefixes,
    PromptQuery, Query, Replica, Router,
};
use apricothall_types::{
    EntryName, Incarnation, Interval, Load, MemberId, PromptCache, Sequence, Timestamp,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 4;
/// Prefill time per token, everything else before the first token, and time from there to the end.
const PREFILL: Duration = Duration::from_micros(200);
const BASE: Duration = Duration::from_millis(20);
const DECODE: Duration = Duration::from_millis(400);
const RETENTION: Duration = Duration::from_mins(5);
const CACHED_TOKENS: u32 = 20_000;
/// Bytes of text per token, as the router estimates them.
const TOKEN_BYTES: usize = 4;

/// One entry with replicas that answer in the stated times.
struct World {
    router: Router,
    replicas: Vec<Replica>,
    model: EntryName,
    now: Timestamp,
    incarnation: Incarnation,
    rng: ChaCha8Rng,
}

/// A text of `tokens` tokens that differs from the first token on for each `topic`.
fn text(topic: u64, tokens: usize) -> Vec<u8> {
    let line = format!("{topic:08x}");
    line.bytes().cycle().take(tokens * TOKEN_BYTES).collect()
}

impl World {
    /// A world whose router has measured the times, with nothing held that a test uses.
    fn new(replicas: usize) -> Self {
        let mut world = Self::unmeasured(replicas);
        for topic in 0..12 {
            let tokens = if topic % 2 == 0 { 100 } else { 1_500 };
            let prompt = text(1_000 + topic, tokens);
            let target = world.replicas[0].id.clone();
            world.serve(&prompt, &target);
        }
        assert!(world.router.timing(&world.model).is_some());
        let event = CacheEvent::Cleared;
        let first = world.replicas[0].id.clone();
        world
            .router
            .note_cache_event(&first, Sequence(1), event, world.now);
        world
    }

    fn unmeasured(replicas: usize) -> Self {
        let mut router = Router::new(RoutingConfig::default());
        let replica = |i| Replica {
            id: format!("vm-{i}").parse().expect("valid id"),
            distance: Distance::Zone,
        };
        let replicas: Vec<_> = (0..replicas).map(replica).collect();
        let now = Timestamp::from_millis(0);
        for replica in &replicas {
            router.note_load(&replica.id, idle(), now);
        }
        Self {
            router,
            replicas,
            model: "drafter".parse().expect("valid name"),
            now,
            incarnation: Incarnation(1),
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }

    fn choose(&mut self, prompt: &[u8]) -> Choice {
        let prefixes = PromptPrefixes::of(prompt);
        let query = Query {
            replicas: &self.replicas,
            excluded: &BTreeSet::new(),
            prefix: Some(Prefix::of(prompt)),
            prompt: Some(PromptQuery {
                model: &self.model,
                cache: cache(),
                prompt: &prefixes,
            }),
        };
        let choice = self.router.choose(query, self.now, &mut self.rng);
        choice.expect("a replica")
    }

    /// Sends a prompt to `member`, where it occupies a slot.
    fn send(&mut self, prompt: &[u8], member: &MemberId) -> PromptAttempt {
        let prefixes = PromptPrefixes::of(prompt);
        let query = PromptQuery {
            model: &self.model,
            cache: cache(),
            prompt: &prefixes,
        };
        let start = EngineStart {
            incarnation: self.incarnation,
            version: "1".parse().expect("valid version"),
        };
        let attempt = self.router.note_prompt(&query, member, start, self.now);
        self.router.note_start(member);
        attempt
    }

    /// Serves a prompt that is not cached at `member`, from its start to its end.
    fn serve(&mut self, prompt: &[u8], member: &MemberId) {
        let tokens = u32::try_from(prompt.len() / TOKEN_BYTES).expect("small");
        self.serve_in(prompt, member, BASE + PREFILL * tokens);
    }

    fn serve_in(&mut self, prompt: &[u8], member: &MemberId, first_token: Duration) {
        let mut attempt = self.send(prompt, member);
        self.now = self.now + first_token;
        self.router.note_prefilled(&mut attempt, self.now);
        self.now = self.now + DECODE;
        self.router.note_prompt_end(&attempt, self.now);
        self.router.note_end(member);
    }

    /// Occupies all slots of `member` and `queued` places of its queue.
    fn occupy(&mut self, member: &MemberId, queued: u32) {
        for _ in 0..SLOTS + queued {
            self.router.note_start(member);
        }
    }

    fn member(&self, index: usize) -> MemberId {
        self.replicas[index].id.clone()
    }
}

fn idle() -> Load {
    Load {
        running: 0,
        queued: 0,
        slots: SLOTS,
    }
}

fn cache() -> PromptCache {
    PromptCache {
        retention: Interval(RETENTION),
        tokens: NonZeroU32::new(CACHED_TOKENS).expect("above 0"),
    }
}

// Guards against a saving that is not derived from what was measured.
#[test]
fn rate_and_slot_time_are_measured() {
    let world = World::new(2);
    let timing = world.router.timing(&world.model).expect("measured");
    let prefill = timing.prefill / PREFILL.as_secs_f64();
    assert!((0.99..1.01).contains(&prefill), "{timing:?}");
    assert!(timing.slot_time >= DECODE, "{timing:?}");
    assert!(timing.slot_time < DECODE + PREFILL * 1_500, "{timing:?}");
}

// Guards against savings from times that nobody measured: the fixed rule applies until then.
#[test]
fn unmeasured_model_uses_the_fixed_rule() {
    let mut world = World::unmeasured(4);
    let prompt = text(1, 2_000);
    let target = world.member(3);
    world.serve(&prompt, &target);
    let choice = world.choose(&prompt);
    assert_eq!(choice.saving, None);
    assert_ne!(choice.cause, Cause::TimeSaved);
}

// Guards against an idle holder that is passed over, and against a choice that does not say why.
#[test]
fn idle_holder_is_chosen_with_its_saving() {
    let mut world = World::new(8);
    let prompt = text(1, 2_000);
    for index in 0..8 {
        world.now = world.now + RETENTION;
        let target = world.member(index);
        world.serve(&prompt, &target);
        let choice = world.choose(&prompt);
        assert_eq!((&choice.member, choice.cause), (&target, Cause::TimeSaved));
        let saving = choice.saving.clone().expect("a saving");
        // The longest recognized length within 8,000 bytes is 6,144.
        assert_eq!((saving.tokens, saving.wait_ms), (1_536, 0));
        assert!((300..=310).contains(&saving.saved_ms), "{saving:?}");
        assert_eq!(choice.saved(), Duration::from_millis(saving.saved_ms));
    }
}

// Guards against the whole prompt counting as saved when only its beginning is shared.
#[test]
fn only_the_shared_part_is_saved() {
    let mut world = World::new(2);
    let target = world.member(1);
    let shared = text(1, 400);
    world.serve(&[shared.clone(), text(2, 1_600)].concat(), &target);
    let choice = world.choose(&[shared, text(3, 1_600)].concat());
    assert_eq!(choice.saving.expect("a saving").tokens, 384);
}

// Guards against a hot prefix that overloads the replica that holds it.
#[test]
fn hot_prefix_spreads() {
    let mut world = World::new(6);
    let prompt = text(1, 2_000);
    let holder = world.member(2);
    world.serve(&prompt, &holder);
    let mut sent = Vec::new();
    for _ in 0..SLOTS * 6 {
        let choice = world.choose(&prompt);
        sent.push(world.send(&prompt, &choice.member));
    }
    let loads: Vec<_> = world
        .replicas
        .iter()
        .map(|r| world.router.in_flight(&r.id))
        .collect();
    // The saving of about 307 ms is worth the wait for two turns of about 150 ms.
    assert!(loads[2] >= SLOTS, "{loads:?}");
    assert!(loads[2] <= SLOTS + 3, "{loads:?}");
    assert!(loads.iter().all(|load| *load > 0), "{loads:?}");
}

// Guards against a rule that ignores the length of the prompt or the length of the queue.
#[test]
fn long_prompt_is_worth_a_short_wait_and_a_short_prompt_is_not() {
    let mut world = World::new(3);
    let (long, short) = (text(1, 4_000), text(2, 100));
    let holder = world.member(1);
    world.serve(&long, &holder);
    world.serve(&short, &holder);
    world.occupy(&holder, 1);
    let choice = world.choose(&long);
    assert_eq!((&choice.member, choice.cause), (&holder, Cause::TimeSaved));
    let saving = choice.saving.expect("a saving");
    assert!(
        saving.saved_ms > saving.wait_ms && saving.wait_ms > 0,
        "{saving:?}"
    );
    let choice = world.choose(&short);
    assert_ne!(choice.member, holder);
    let saving = choice.saving.clone().expect("a saving");
    assert!(saving.saved_ms < saving.wait_ms, "{saving:?}");
    assert_eq!((&saving.member, choice.saved()), (&holder, Duration::ZERO));
}

// Guards against a full replica that attracts its prefixes however long its queue is.
#[test]
fn full_replica_without_room_gets_no_more_than_the_saving_allows() {
    let mut world = World::new(3);
    let prompt = text(1, 4_000);
    let holder = world.member(1);
    world.serve(&prompt, &holder);
    world.occupy(&holder, 12);
    for _ in 0..20 {
        let choice = world.choose(&prompt);
        assert_ne!(choice.member, holder);
        assert_eq!(choice.saved(), Duration::ZERO);
    }
}

// Guards against prefixes that scatter over all replicas under load, after which no replica holds
// them: a long prompt that is not known to be held goes where all entries send it, a short one to a
// shorter queue.
#[test]
fn unknown_prefix_under_load_goes_where_other_entries_send_it() {
    let mut world = World::new(6);
    for replica in world.replicas.clone() {
        world.occupy(&replica.id, 2);
    }
    let (long, short) = (text(1, 4_000), text(2, 30));
    let choice = world.choose(&long);
    assert_eq!((choice.cause, choice.saving), (Cause::Affinity, None));
    let first = choice.member;
    world.occupy(&first, 0);
    for _ in 0..20 {
        let choice = world.choose(&long);
        assert_ne!(choice.member, first, "beyond the load bound");
    }
    let mut world = World::new(6);
    let first = world.choose(&short).member;
    for replica in world.replicas.clone() {
        world.occupy(&replica.id, 6);
    }
    world.router.note_start(&first);
    let choice = world.choose(&short);
    assert_ne!(choice.member, first);
}

// Guards against a prefix that counts as held although later prompts have displaced it.
#[test]
fn later_prompts_displace_a_prefix() {
    let mut world = World::new(2);
    let prompt = text(1, 2_000);
    let holder = world.member(1);
    world.serve(&prompt, &holder);
    // 2,000 tokens and eight times 2,000 fit; the tenth prompt of this length is one too many.
    for topic in 0..9 {
        let choice = world.choose(&prompt);
        assert!(choice.saving.is_some(), "after {topic} later prompts");
        world.serve(&text(10 + topic, 2_000), &holder);
    }
    world.serve(&text(30, 2_000), &holder);
    assert_eq!(world.choose(&prompt).saving, None);
}

// Guards against the assumption that only this entry's prompts take memory.
#[test]
fn prompts_of_other_entries_displace_a_prefix() {
    let mut world = World::new(2);
    let prompt = text(1, 2_000);
    let holder = world.member(1);
    world.serve(&prompt, &holder);
    world.router.set_entries(9);
    world.serve(&text(2, 2_000), &holder);
    assert!(world.choose(&prompt).saving.is_some());
    world.serve(&text(3, 1_000), &holder);
    assert_eq!(world.choose(&prompt).saving, None);
}

// Guards against a prefix that counts as held after the retention time, and against one that
// expires although it is in use.
#[test]
fn prefix_expires_after_its_last_use() {
    let mut world = World::new(2);
    let prompt = text(1, 2_000);
    let holder = world.member(1);
    world.serve(&prompt, &holder);
    for _ in 0..3 {
        world.now = world.now + RETENTION.saturating_sub(DECODE + Duration::from_millis(1));
        assert!(world.choose(&prompt).saving.is_some());
        world.serve_in(&prompt, &holder, BASE);
    }
    world.now = world.now + RETENTION.saturating_sub(DECODE);
    assert_eq!(world.choose(&prompt).saving, None);
}

// Guards against savings from the memory of an engine that has restarted or has another version.
#[test]
fn restarted_engine_holds_nothing() {
    let mut world = World::new(2);
    let prompt = text(1, 2_000);
    let holder = world.member(1);
    world.serve(&prompt, &holder);
    world.router.retain_engines(|_, id, _| *id == holder);
    assert!(world.choose(&prompt).saving.is_some());
    world
        .router
        .retain_engines(|_, _, start| start.incarnation == Incarnation(2));
    assert_eq!(world.choose(&prompt).saving, None);
    assert_eq!(world.router.held_prefixes(), 0);
}

// Guards against a restart that is first seen with the next request to the replica.
#[test]
fn request_to_a_later_start_drops_what_the_earlier_one_held() {
    let mut world = World::new(2);
    let prompt = text(1, 2_000);
    let holder = world.member(1);
    world.serve(&prompt, &holder);
    let mut unanswered = world.send(&prompt, &holder);
    world.incarnation = Incarnation(2);
    world.serve(&text(2, 100), &holder);
    assert_eq!(world.choose(&prompt).saving, None);
    // A late first token of the earlier start says nothing about the later one.
    world.router.note_prefilled(&mut unanswered, world.now);
    assert_eq!(world.choose(&prompt).saving, None);
}

// Guards against a restart that no record shows: the answer takes as long as without the prefix.
#[test]
fn slow_answer_drops_what_the_engine_was_thought_to_hold() {
    let mut world = World::new(2);
    let (prompt, other) = (text(1, 2_000), text(2, 2_000));
    let holder = world.member(1);
    world.serve(&prompt, &holder);
    world.serve(&other, &holder);
    world.serve_in(&prompt, &holder, BASE + PREFILL * 2_100);
    assert_eq!(world.choose(&other).saving, None);
    assert!(world.choose(&prompt).saving.is_some());
}

// Guards against a prefix that counts as held although the replica reported its eviction.
#[test]
fn evicted_prefix_is_not_held() {
    let mut world = World::new(2);
    let prompt = text(1, 2_000);
    let holder = world.member(1);
    world.serve(&prompt, &holder);
    let evicted = CacheEvent::Evicted(Prefix::of(&prompt));
    let (router, now) = (&mut world.router, world.now);
    assert!(router.note_cache_event(&holder, Sequence(1), evicted, now));
    assert_eq!(world.choose(&prompt).saving, None);
}

// Guards against a table that grows with the number of prompts.
#[test]
fn remembered_prefixes_are_bounded() {
    let mut world = World::unmeasured(2);
    world.router = Router::new(RoutingConfig {
        prompts: 20,
        ..RoutingConfig::default()
    });
    for topic in 0..50 {
        let target = world.member(usize::try_from(topic % 2).expect("small"));
        world.serve(&text(topic, 2_000), &target);
        assert!(world.router.held_prefixes() <= 20);
    }
}

// Guards against changes for models whose engines retain nothing: the choices and their causes are
// those of the fixed rule, whatever was measured.
#[test]
fn model_without_a_prompt_cache_uses_the_fixed_rule() {
    let mut world = World::new(4);
    let prompt = text(1, 2_000);
    let holder = world.member(3);
    world.serve(&prompt, &holder);
    let mut plain = Router::new(RoutingConfig::default());
    for replica in &world.replicas {
        plain.note_load(&replica.id, idle(), Timestamp::from_millis(0));
    }
    let mut rngs = [7, 7].map(ChaCha8Rng::seed_from_u64);
    for topic in 0..200 {
        let query = Query {
            replicas: &world.replicas,
            excluded: &BTreeSet::new(),
            prefix: Some(Prefix::of(&text(topic % 3, 2_000))),
            prompt: None,
        };
        let with = world.router.choose(query, world.now, &mut rngs[0]);
        let without = plain.choose(query, world.now, &mut rngs[1]);
        assert_eq!(with, without);
        let member = with.expect("a replica").member;
        world.router.note_start(&member);
        plain.note_start(&member);
    }
}
