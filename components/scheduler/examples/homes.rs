//! Measures what a lost home costs: the share of keys that nobody can vouch for, and the time
//! and memory of the decisions as members and claims grow.

use std::{
    env, fs,
    hint::black_box,
    io,
    time::{Duration, Instant, SystemTime},
};

use model::{
    claim::{Ask, Verdict},
    id::{ClaimKey, IncarnationId, Offset},
    membership::{Action, Join, Leave, Record, SCHEMA},
};
use scheduler::{
    claim::{self, Clock, Effect, Event, Settings, State},
    entry,
    membership::{self, WINDOW},
};
use uuid::Uuid;

const KEYS: u128 = 10_000;
const SECOND: Duration = Duration::from_secs(1);
const DAY: Duration = Duration::from_secs(24 * 3_600);

/// A log, and when its last record was appended.
struct Log {
    records: Vec<String>,
    at: SystemTime,
}

fn main() -> io::Result<()> {
    let claims = env::args().nth(1).and_then(|count| count.parse().ok()).unwrap_or(200_000);
    remember(claims)?;
    for members in [13, 100, 1_000, 10_000] {
        report(members);
    }
    cold(13);
    Ok(())
}

fn report(members: usize) {
    let mut log = Log { records: Vec::new(), at: SystemTime::UNIX_EPOCH + WINDOW * 400 };
    (0..members).for_each(|index| log.join(index, index as u128));
    log.at += DAY * 2;
    let quiet = log.fold();
    let began = Instant::now();
    (0..KEYS).for_each(|number| drop(black_box(quiet.homes(key(number)))));
    let cost = began.elapsed() / KEYS as u32;
    log.leave(1, Some(log.records.len() as Offset));
    let handed = share(&log, SECOND, None);
    log.join(0, members as u128);
    let opaque = share(&log, SECOND, None);
    let early = share(&log, SECOND, Some(SECOND));
    let timed = share(&log, SECOND * 20, Some(SECOND * 20));
    let after = share(&log, claim::RETENTION + SECOND * 10, None);
    println!(
        "{members:>6} members: homes {cost:?}; unsure after a drain {handed:.4}, after a crash: \
         opaque {opaque:.4}, minted 1 s later {early:.4}, 20 s later {timed:.4}; opaque after \
         the retention {after:.4}"
    );
}

/// A site that starts as a whole, and whose first or last agent to join then crashes.
fn cold(members: usize) {
    let lost = |index: usize| {
        let mut log = Log { records: Vec::new(), at: SystemTime::UNIX_EPOCH + WINDOW * 400 };
        (0..members).for_each(|index| log.join(index, index as u128));
        log.join(index, members as u128);
        share(&log, SECOND, None)
    };
    let (first, last) = (lost(0), lost(members - 1));
    println!(
        "{members} members, cold start: unsure after the first {first:.4}, the last {last:.4}"
    );
}

impl Log {
    fn join(&mut self, index: usize, number: u128) {
        let join = Join {
            target: format!("target-{index}"),
            host: format!("target-{index}"),
            incarnation: run(number),
            control: ([127, 0, 0, 1], 1_000 + index as u16).into(),
        };
        self.append(Action::Join(join));
    }

    fn leave(&mut self, index: usize, handed_over: Option<Offset>) {
        let target = format!("target-{index}");
        let incarnation = run(index as u128);
        self.append(Action::Leave(Leave { target, incarnation, handed_over, ended: true }));
    }

    fn append(&mut self, action: Action) {
        let record = Record { schema: SCHEMA, at: self.at, action };
        self.records.push(serde_json::to_string(&record).expect("a record is JSON"));
    }

    fn fold(&self) -> membership::State {
        let mut members = membership::State::default();
        for (offset, record) in (1..).zip(&self.records) {
            members.apply(offset, record).expect("the offsets have no gap");
        }
        members.prune(self.at);
        members
    }

    /// The claims of a member that has read everything.
    fn open(&self, incarnation: IncarnationId, clock: Clock, claims: usize) -> State {
        let mut state = claim::open(Settings { incarnation, claims });
        let numbered = (1..).zip(&self.records);
        let record = |(offset, payload): (Offset, &String)| entry::Record {
            offset,
            payload: payload.clone(),
        };
        claim::reduce(&mut state, clock, Event::Records(numbered.map(record).collect()));
        claim::reduce(&mut state, clock, Event::CaughtUp);
        state
    }
}

/// Share of new keys that their home calls unsure without asking, some time after the last
/// record; `minted` is the time of the keys after it.
fn share(log: &Log, later: Duration, minted: Option<Duration>) -> f64 {
    let clock = Clock { now: Instant::now(), wall: log.at + later };
    let members = log.fold();
    let mut unsure = 0;
    let mut homes: std::collections::BTreeMap<IncarnationId, State> = Default::default();
    // Only a key with earlier homes can be unsure.
    let moved = (0..KEYS).filter(|number| members.homes(key(*number)).len() > 1);
    for number in moved {
        let home = members.home(key(number)).expect("there are members").id;
        let state = homes.entry(home).or_insert_with(|| log.open(home, clock, KEYS as usize));
        let minted = minted.map(|after| log.at + after);
        let ask = Ask { key: key(number), attempt: run(number), epoch: 1, minted };
        unsure += usize::from(verdict(state, clock, ask) == Some(Verdict::Unsure));
    }
    unsure as f64 / KEYS as f64
}

fn verdict(state: &mut State, clock: Clock, ask: Ask) -> Option<Verdict> {
    let effects = claim::reduce(state, clock, Event::Claim(ask));
    effects.into_iter().find_map(|effect| match effect {
        Effect::Reply { verdict, .. } => Some(verdict),
        _ => None,
    })
}

/// Grants claims at a lone member; prints the time and the resident memory of one.
fn remember(claims: usize) -> io::Result<()> {
    let mut log = Log { records: Vec::new(), at: SystemTime::UNIX_EPOCH + WINDOW * 400 };
    log.join(0, 0);
    let clock = Clock { now: Instant::now(), wall: log.at };
    let mut state = log.open(run(0), clock, claims);
    let before = resident()?;
    let began = Instant::now();
    for number in 0..claims as u128 {
        let ask = Ask { key: key(number), attempt: run(number), epoch: 1, minted: None };
        black_box(verdict(&mut state, clock, ask));
    }
    let (took, grown) = (began.elapsed() / claims as u32, resident()? - before);
    println!("{claims} claims: {took:?} and {} bytes each", grown / claims);
    Ok(())
}

/// Resident set of this process, in bytes.
fn resident() -> io::Result<usize> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)).and_then(|n| n.parse().ok());
    kib.map(|kib: usize| kib * 1_024).ok_or_else(|| io::Error::other("no resident set is told"))
}

fn key(number: u128) -> ClaimKey {
    claim_key(&format!("decision-{number}"))
}

fn claim_key(text: &str) -> ClaimKey {
    model::claim::key(&"routing".to_owned(), &text.to_owned())
}

fn run(number: u128) -> IncarnationId {
    Uuid::from_u128(number + 1)
}
