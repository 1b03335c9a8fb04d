//! Three keepers in simulated time, on real disks: messages lost, links cut, keepers ended and started again, disks put
//! back. The code is that of the processes.

use std::collections::BTreeMap;
use std::path::PathBuf;

use hoptiller_coordination::{
    Command, CommandResponse, Document, Holder, LeaseTiming, Micros, Proposal, Rejection,
};
use hoptiller_coordination_server::core::{Core, State, Ticket, Told};
use hoptiller_coordination_server::disk::Disk;
use hoptiller_coordination_server::log::{Log, Message};
use hoptiller_coordination_server::members::{Members, NotReplaced, Replace};

const MS: Micros = 1000;
const BOUNDS: LeaseTiming = LeaseTiming {
    term: 2000 * MS,
    drift: 1000,
};

struct Dice(u64);

impl Dice {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

struct World {
    dir: PathBuf,
    now: Micros,
    cores: BTreeMap<u64, Core>,
    /// Messages that are on their way, with when they arrive and the number of their sender's list of keepers.
    flying: Vec<(Micros, u32, Message)>,
    /// Links that carry nothing, one way.
    cut: Vec<(u64, u64)>,
    /// One message in so many is lost; 0: none.
    lose: u64,
    dice: Dice,
    answers: BTreeMap<(u64, Ticket), CommandResponse>,
    replaced: BTreeMap<(u64, Ticket), Result<u32, NotReplaced>>,
}

fn document(attempts: u32) -> Document {
    let text = format!(
        r#"{{"form": 1, "kinds": {{"a": 8}},
            "classes": {{"lookup": {{"aim": "1s", "patience": "7s", "repeat": "safe"}}}},
            "engines": {{"max_attempts": {attempts}}},
            "rules": {{"start_capacity": 0.3, "ramp": "14s", "overload": 3, "fall": "2s"}}}}"#
    );
    Document::from_json(text.as_bytes()).expect("good")
}

fn put(change: &str, attempts: u32) -> Command {
    Command::Propose(Box::new(Proposal {
        change_name: change.into(),
        base: None,
        author: "ann".into(),
        proposed_at_ms: 1,
        reason: "a test".into(),
        document: document(attempts),
    }))
}

fn ask(router: &str, heeds: u64, in_force: u64) -> Command {
    Command::RenewLease {
        holder: Holder {
            router: router.into(),
            incarnation: "1".into(),
        },
        enforced: heeds,
        in_force,
        offer: None,
    }
}

fn members() -> Members {
    Members::first(
        (1..=3)
            .map(|n| (n, ([127, 0, 0, 1], n as u16).into()))
            .collect(),
    )
}

impl World {
    fn new(name: &str, seed: u64) -> World {
        let dir =
            std::env::temp_dir().join(format!("hoptiller-keepers-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        let mut world = World {
            dir,
            now: 0,
            cores: BTreeMap::new(),
            flying: Vec::new(),
            cut: Vec::new(),
            lose: 0,
            dice: Dice(seed),
            answers: BTreeMap::new(),
            replaced: BTreeMap::new(),
        };
        for keeper in 1..=3 {
            world.start(keeper);
        }
        world
    }

    fn disk(&self, keeper: u64) -> Disk {
        Disk::open(
            &self.dir.join(keeper.to_string()),
            "f",
            keeper,
            "d",
            1 << 30,
        )
        .expect("opened")
    }

    fn start(&mut self, keeper: u64) {
        self.start_on(keeper, self.disk(keeper));
    }

    /// A new keeper begins with what another hands over; false where none can.
    fn join(&mut self, keeper: u64) -> bool {
        let hands = |c: &&Core| !c.is_replaced() && c.members().at.contains_key(&keeper);
        let Some(State {
            members,
            index,
            machine,
        }) = self.cores.values().find(hands).map(Core::state)
        else {
            return false;
        };
        let disk = self.disk(keeper);
        disk.move_on(members, index, machine);
        self.start_on(keeper, disk);
        true
    }

    fn start_on(&mut self, keeper: u64, disk: Disk) {
        let life = disk.life();
        let log = Log::open(keeper, members(), disk).expect("opened");
        self.cores
            .insert(keeper, Core::new(keeper, life, BOUNDS, log, self.now));
        // What was sent to the process before is lost, and the others notice the broken links.
        self.flying
            .retain(|(_, _, m)| m.to() != keeper && m.from() != keeper);
        let others: Vec<u64> = self
            .cores
            .keys()
            .copied()
            .filter(|o| *o != keeper)
            .collect();
        for other in others {
            self.cores
                .get_mut(&other)
                .expect("there")
                .reconnected(keeper);
            self.cores
                .get_mut(&keeper)
                .expect("there")
                .reconnected(other);
        }
    }

    /// A message arrives, as the sockets' side passes it on: only under one list of keepers.
    fn arrive(&mut self, list: u32, message: Message) {
        let (from, now) = (message.from(), self.now);
        let Some(core) = self.cores.get_mut(&message.to()) else {
            return;
        };
        match list.cmp(&core.members().number) {
            std::cmp::Ordering::Equal => core.messages(now, vec![message]),
            std::cmp::Ordering::Less if core.members().gone.contains(&from) => self.stop(from),
            std::cmp::Ordering::Less => {}
            std::cmp::Ordering::Greater => {
                let state = self.cores.get(&from).map(Core::state);
                let to = self.cores.get_mut(&message.to());
                to.into_iter()
                    .zip(state)
                    .for_each(|(to, state)| to.install(now, state));
            }
        }
    }

    fn replace(&mut self, keeper: u64, lost: u64, new: u64) -> Ticket {
        let now = self.now;
        let at = ([127, 0, 0, 1], 9).into();
        self.cores
            .get_mut(&keeper)
            .expect("running")
            .replace(now, Replace { lost, new, at })
    }

    /// Runs until a replacing is answered.
    fn replaced(&mut self, keeper: u64, ticket: Ticket) -> Option<Result<u32, NotReplaced>> {
        for _ in 0..1000 {
            self.step();
            if let Some(answer) = self.replaced.remove(&(keeper, ticket)) {
                return Some(answer);
            }
        }
        None
    }

    fn stop(&mut self, keeper: u64) {
        self.cores.remove(&keeper);
    }

    fn step(&mut self) {
        self.now += 10 * MS;
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.flying)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.flying = rest;
        for (_, list, message) in due {
            self.arrive(list, message);
        }
        for core in self.cores.values_mut() {
            core.tick(now);
        }
        let mut sent = Vec::new();
        for (keeper, core) in &mut self.cores {
            for answered in core.take_answers() {
                let call = (*keeper, answered.ticket);
                match answered.answer {
                    Told::Act(answer) => drop(self.answers.insert(call, answer)),
                    Told::Replaced(list) => drop(self.replaced.insert(call, list)),
                }
            }
            let list = core.members().number;
            sent.extend(core.take_messages().into_iter().map(|m| (list, m)));
        }
        for (list, message) in sent {
            let link = (message.from(), message.to());
            let lost = self.lose > 0 && self.dice.below(self.lose) == 0;
            if !self.cut.contains(&link) && !lost {
                self.flying.push((now + 2 * MS, list, message));
            } else if lost && self.dice.below(3) == 0 {
                // A link that loses is noticed in the end, as a broken connection is.
                if let Some(core) = self.cores.get_mut(&link.1) {
                    core.reconnected(link.0);
                }
            }
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.step();
        }
    }

    fn call(&mut self, keeper: u64, act: Command) -> Ticket {
        self.cores.get_mut(&keeper).expect("running").call(act)
    }

    /// Calls, and runs until there is an answer.
    fn answer(&mut self, keeper: u64, act: Command) -> Option<CommandResponse> {
        let ticket = self.call(keeper, act);
        for _ in 0..1000 {
            self.step();
            if let Some(answer) = self.answers.remove(&(keeper, ticket)) {
                return Some(answer);
            }
        }
        None
    }

    fn in_force(&self, keeper: u64) -> u64 {
        self.cores[&keeper].fleet().in_force()
    }

    fn leader(&self) -> Option<u64> {
        self.cores.values().find_map(Core::leader)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.cores.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

#[test]
fn a_change_put_at_any_keeper_comes_in_force_at_all_and_outlives_them_all() {
    let mut w = World::new("any", 1);
    assert_eq!(
        w.answer(2, put("one", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    assert_eq!(
        w.answer(3, put("two", 2)),
        Some(CommandResponse::Proposed(Ok(2)))
    );
    w.run(500);
    assert_eq!([1, 2, 3].map(|k| w.in_force(k)), [2, 2, 2]);
    for keeper in 1..=3 {
        w.stop(keeper);
    }
    for keeper in 1..=3 {
        w.start(keeper);
    }
    w.run(3000);
    assert_eq!([1, 2, 3].map(|k| w.in_force(k)), [2, 2, 2]);
    assert_eq!(
        w.answer(1, put("one", 3)),
        Some(CommandResponse::Proposed(Ok(1))),
        "known by its name"
    );
    assert_eq!(
        w.answer(1, put("three", 4)),
        Some(CommandResponse::Proposed(Ok(3)))
    );
}

#[test]
fn two_of_three_go_on_and_one_alone_answers_nothing() {
    let mut w = World::new("two", 2);
    assert_eq!(
        w.answer(1, put("one", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    let leader = w.leader().expect("somebody leads");
    w.stop(leader);
    let other = (1..=3).find(|k| *k != leader).expect("two are left");
    assert_eq!(
        w.answer(other, put("two", 2)),
        Some(CommandResponse::Proposed(Ok(2)))
    );
    let last = (1..=3)
        .find(|k| *k != leader && *k != other)
        .expect("one more");
    w.stop(last);
    assert_eq!(w.answer(other, put("three", 4)), None);
    w.start(last);
    w.run(4000);
    assert_eq!(
        w.answer(last, put("four", 5)),
        Some(CommandResponse::Proposed(Ok(4))),
        "three was decided once two were back"
    );
}

#[test]
fn a_leader_cut_off_from_the_others_gives_no_permit() {
    let mut w = World::new("cut", 3);
    assert_eq!(
        w.answer(1, put("one", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    let leader = w.leader().expect("somebody leads");
    for other in (1..=3).filter(|k| *k != leader) {
        w.cut.extend([(leader, other), (other, leader)]);
    }
    assert_eq!(
        w.answer(leader, ask("r", 0, 0)),
        None,
        "it still believes that it leads"
    );
    let other = (1..=3).find(|k| *k != leader).expect("others");
    assert!(matches!(
        w.answer(other, ask("r", 0, 0)),
        Some(CommandResponse::LeaseGranted(_))
    ));
    w.cut.clear();
    w.run(4000);
    assert!(matches!(
        w.answer(leader, ask("r", 1, 1)),
        Some(CommandResponse::LeaseGranted(_))
    ));
}

#[test]
fn links_broken_in_a_ring_still_leave_one_that_is_heard_by_two() {
    let mut w = World::new("ring", 4);
    assert_eq!(
        w.answer(1, put("one", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    // 1 hears 2, 2 hears 3, 3 hears 1, and nobody both ways but over the third.
    w.cut = vec![(1, 2), (2, 1)];
    assert_eq!(
        w.answer(3, put("two", 2)),
        Some(CommandResponse::Proposed(Ok(2)))
    );
    w.cut = vec![(2, 3), (3, 2)];
    w.run(3000);
    assert_eq!(
        w.answer(1, put("three", 4)),
        Some(CommandResponse::Proposed(Ok(3)))
    );
    w.cut = vec![(3, 1), (1, 3)];
    w.run(3000);
    assert_eq!(
        w.answer(2, put("four", 5)),
        Some(CommandResponse::Proposed(Ok(4)))
    );
}

#[test]
fn a_permit_is_waited_for_over_a_change_of_leaders_and_no_longer_than_its_term() {
    let mut w = World::new("term", 5);
    assert_eq!(
        w.answer(1, put("one", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    assert!(matches!(
        w.answer(1, ask("r", 0, 0)),
        Some(CommandResponse::LeaseGranted(_))
    ));
    let granted = w.now;
    w.run(1500);
    let leader = w.leader().expect("somebody leads");
    w.stop(leader);
    let other = (1..=3).find(|k| *k != leader).expect("others");
    assert_eq!(
        w.answer(other, put("two", 2)),
        Some(CommandResponse::Proposed(Ok(2)))
    );
    while w.now < granted + BOUNDS.term {
        assert_eq!(w.in_force(other), 1, "at {}", w.now);
        w.step();
    }
    w.run(4000);
    assert_eq!(w.in_force(other), 2);
}

#[test]
fn keepers_that_lag_far_get_the_state_and_the_log_stays_short() {
    let mut w = World::new("lag", 6);
    assert_eq!(
        w.answer(1, put("0", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    w.stop(3);
    for n in 1..=700u64 {
        let keeper = 1 + n % 2;
        assert!(
            matches!(
                w.answer(keeper, ask("r", 1, 1)),
                Some(CommandResponse::LeaseGranted(_))
            ),
            "{n}"
        );
    }
    let (decided, kept) = w.cores[&1].sizes();
    assert!(
        decided > 700 && kept <= 600,
        "{decided} decided, {kept} kept"
    );
    w.start(3);
    w.run(3000);
    assert_eq!(w.cores[&3].fleet(), w.cores[&1].fleet());
    // The state is on the disk, with who holds a permit.
    assert!(matches!(
        w.answer(1, ask("r", 1, 1)),
        Some(CommandResponse::LeaseGranted(_))
    ));
    for keeper in 1..=3 {
        w.stop(keeper);
    }
    w.start(1);
    assert_eq!(
        (w.in_force(1), w.cores[&1].fleet().holders().count()),
        (1, 1)
    );
}

#[test]
fn a_refused_change_stays_refused_though_its_entry_is_proposed_again() {
    let mut w = World::new("again", 7);
    assert_eq!(
        w.answer(1, put("0", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    assert!(matches!(
        w.answer(1, ask("r", 0, 0)),
        Some(CommandResponse::LeaseGranted(_))
    ));
    for n in 0..8 {
        assert!(matches!(
            w.answer(1, put(&format!("p{n}"), 1 + n % 3)),
            Some(CommandResponse::Proposed(Ok(_)))
        ));
    }
    w.lose = 3;
    let refused = w.answer(2, put("late", 9));
    assert_eq!(
        refused,
        Some(CommandResponse::Proposed(Err(Rejection::TooManyPending {
            pending: 8
        })))
    );
    w.lose = 0;
    w.run(6000);
    let fleet = w.cores[&1].fleet();
    assert_eq!(
        (fleet.in_force(), fleet.latest()),
        (9, 9),
        "its permit has run out, and nothing came behind"
    );
}

#[test]
fn random_faults_lose_no_answered_change_and_keepers_agree() {
    random_faults("random", false);
}

#[test]
fn random_faults_with_keepers_replaced_lose_no_answered_change() {
    random_faults("replacing", true);
}

fn random_faults(name: &str, replacing: bool) {
    for seed in 0..6 {
        let mut w = World::new(&format!("{name}{seed}"), 100 + seed);
        // Who the keepers are, and who is to take whose place.
        let (mut keepers, mut change): (Vec<u64>, Option<(u64, u64)>) = (vec![1, 2, 3], None);
        let mut lists = 1;
        let mut taken: BTreeMap<u64, u32> = BTreeMap::new();
        let mut open: Vec<(u64, Ticket, u32)> = Vec::new();
        for round in 0..400u32 {
            match w.dice.below(12) {
                0 => w.lose = [0, 20, 5][w.dice.below(3) as usize],
                1 => {
                    let (a, b) = (w.dice.below(3) as usize, w.dice.below(3) as usize);
                    w.cut.push((keepers[a], keepers[b]));
                }
                2 | 3 => w.cut.clear(),
                4 if change.is_none() && keepers.iter().all(|k| w.cores.contains_key(k)) => {
                    let k = keepers[w.dice.below(3) as usize];
                    w.stop(k);
                    open.retain(|(keeper, ..)| *keeper != k);
                    if replacing && w.dice.below(2) == 0 {
                        change = Some((k, keepers.iter().max().expect("three") + 1));
                    }
                }
                5 | 6 if change.is_none() => {
                    if let Some(k) = keepers.iter().copied().find(|k| !w.cores.contains_key(k)) {
                        w.start(k);
                    }
                }
                // Asked for again and again at any keeper, as an administrator would who hears nothing.
                9 | 10 => {
                    if let Some((lost, new)) = change {
                        let k = keepers[w.dice.below(3) as usize];
                        if w.cores.contains_key(&k) {
                            w.replace(k, lost, new);
                        }
                        if w.join(new) {
                            keepers.retain(|k| *k != lost);
                            keepers.push(new);
                            (change, lists) = (None, lists + 1);
                        }
                    }
                }
                7 | 8 => {
                    let k = keepers[w.dice.below(3) as usize];
                    if w.cores.contains_key(&k) {
                        let ticket = w.call(k, put(&format!("{seed}-{round}"), 1 + round));
                        open.push((k, ticket, 1 + round));
                    }
                }
                _ => {}
            }
            w.run(100);
            open.retain(
                |(k, ticket, attempts)| match w.answers.remove(&(*k, *ticket)) {
                    None => true,
                    Some(CommandResponse::Proposed(Ok(number))) => {
                        let before = taken.insert(number, *attempts);
                        assert_eq!(before, None, "version {number} was given to two changes");
                        false
                    }
                    Some(_) => false,
                },
            );
        }
        w.lose = 0;
        w.cut.clear();
        // One whose place is taken by none: it was not lost after all.
        for k in keepers {
            if !w.cores.contains_key(&k) {
                w.start(k);
            }
        }
        w.run(8000);
        assert_eq!(
            replacing,
            lists > 2,
            "seed {seed}: {lists} lists of keepers"
        );
        w.cores.retain(|_, core| !core.is_replaced());
        assert!(taken.len() > 5, "seed {seed}: only {} changes", taken.len());
        let fleets: Vec<_> = w.cores.values().map(|c| c.fleet().clone()).collect();
        assert!(
            fleets.windows(2).all(|f| f[0] == f[1]),
            "seed {seed}: keepers differ"
        );
        for (number, attempts) in taken {
            if let Some(version) = fleets[0].version(number) {
                assert_eq!(
                    version.document.engines.max_attempts, attempts,
                    "seed {seed}: version {number}"
                );
            } else {
                assert!(
                    number < fleets[0].in_force(),
                    "seed {seed}: version {number} is lost"
                );
            }
        }
    }
}

#[test]
fn a_lost_keeper_is_replaced_and_the_new_one_counts() {
    let mut w = World::new("lost", 8);
    assert_eq!(
        w.answer(1, put("one", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    w.stop(3);
    std::fs::remove_dir_all(w.dir.join("3")).expect("lost");
    assert!(!w.join(4), "nobody has taken it in");
    // What is on its way when the list of keepers changes is not lost with the list.
    let before = w.call(1, put("two", 2));
    let ticket = w.replace(2, 3, 4);
    let beside = w.call(2, put("three", 1));
    assert_eq!(w.replaced(2, ticket), Some(Ok(2)));
    assert!(w.join(4));
    w.run(2000);
    assert!(matches!(
        w.answers.remove(&(1, before)),
        Some(CommandResponse::Proposed(Ok(2 | 3)))
    ));
    assert!(matches!(
        w.answers.remove(&(2, beside)),
        Some(CommandResponse::Proposed(Ok(2 | 3)))
    ));
    w.stop(1);
    assert_eq!(
        w.answer(4, put("four", 4)),
        Some(CommandResponse::Proposed(Ok(4))),
        "with the new one they are two of three"
    );
    w.run(500);
    w.start(1);
    w.run(3000);
    assert_eq!(w.cores[&1].fleet(), w.cores[&4].fleet());
    assert_eq!(w.cores[&1].members().all(), [1, 2, 4]);
    let again = w.replace(4, 3, 4);
    assert_eq!(
        w.replaced(4, again),
        Some(Ok(2)),
        "asked for twice, done once"
    );
    let unknown = w.replace(4, 3, 5);
    assert_eq!(w.replaced(4, unknown), Some(Err(NotReplaced::Unknown(3))));
}

#[test]
fn whenever_a_keeper_ends_while_another_is_replaced_the_rest_goes_on() {
    for steps in 0..24 {
        let mut w = World::new(&format!("when{steps}"), 9);
        assert_eq!(
            w.answer(1, put("one", 3)),
            Some(CommandResponse::Proposed(Ok(1)))
        );
        w.cut = vec![(3, 1), (3, 2), (1, 3), (2, 3)];
        w.replace(2, 3, 4);
        (0..steps).for_each(|_| w.step());
        w.stop(1);
        w.run(300);
        w.start(1);
        w.run(2500);
        assert!(w.join(4), "after {steps} steps");
        w.run(1000);
        w.stop(2);
        assert_eq!(
            w.answer(1, put("two", 2)),
            Some(CommandResponse::Proposed(Ok(2))),
            "after {steps} steps"
        );
        w.start(2);
        // The one in whose place another stands has heard nothing of it, and may do nothing more.
        w.cut.clear();
        w.run(2500);
        assert!(!w.cores.contains_key(&3), "after {steps} steps");
        assert_eq!(
            w.cores[&2].fleet(),
            w.cores[&4].fleet(),
            "after {steps} steps"
        );
    }
}

#[test]
fn what_is_decided_behind_a_change_of_keepers_is_void_and_comes_under_the_next_list() {
    let mut w = World::new("void", 10);
    assert_eq!(
        w.answer(1, put("one", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    let leader = w.leader().expect("somebody leads");
    let lost = (1..=3).find(|k| *k != leader).expect("others");
    // Both go out together, and are decided together.
    w.replace(leader, lost, 4);
    let ticket = w.call(leader, put("two", 2));
    while w.cores[&leader].members().number == 1 {
        w.step();
    }
    assert_eq!(
        w.cores[&leader].fleet().latest(),
        1,
        "it was decided under a list that had ended"
    );
    assert!(w.join(4));
    w.run(3000);
    assert_eq!(
        w.answers.remove(&(leader, ticket)),
        Some(CommandResponse::Proposed(Ok(2))),
        "and came again"
    );
    assert_eq!(w.cores[&4].fleet().latest(), 2);
}
