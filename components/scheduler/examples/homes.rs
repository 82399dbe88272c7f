//! Measures the cost of losing a member that stored claims (a key's home): the share of keys whose claims
//! can't be decided any more, and the time and memory of decisions by the number of members and claims.

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

const KEY_COUNT: u128 = 10_000;
const SECOND: Duration = Duration::from_secs(1);
const DAY: Duration = Duration::from_secs(24 * 3_600);

/// Membership records in the order of the stream, and the time of the last record.
struct Log {
    records: Vec<String>,
    last_append: SystemTime,
}

fn main() -> io::Result<()> {
    let claims = env::args().nth(1).and_then(|count| count.parse().ok()).unwrap_or(200_000);
    report_claim_cost(claims)?;
    for members in [13, 100, 1_000, 10_000] {
        report_unsure_shares(members);
    }
    report_cold_start(13);
    Ok(())
}

/// Prints the time to find a key's homes, and the share of unsure keys after one member leaves with its
/// claims handed over and after another one crashes.
fn report_unsure_shares(members: usize) {
    let mut log = Log { records: Vec::new(), last_append: SystemTime::UNIX_EPOCH + WINDOW * 400 };
    (0..members).for_each(|index| log.join(index, index as u128));
    log.last_append += DAY * 2;
    let membership = log.fold_records();
    let started_at = Instant::now();
    (0..KEY_COUNT).for_each(|number| drop(black_box(membership.homes(claim_key_of(number)))));
    let lookup_time = started_at.elapsed() / KEY_COUNT as u32;
    log.leave(1, Some(log.records.len() as Offset));
    let unsure_after_drain = unsure_share(&log, SECOND, None);
    log.join(0, members as u128);
    let unsure_after_crash = unsure_share(&log, SECOND, None);
    let minted_after_1_s = unsure_share(&log, SECOND, Some(SECOND));
    let minted_after_20_s = unsure_share(&log, SECOND * 20, Some(SECOND * 20));
    let after_retention = unsure_share(&log, claim::RETENTION + SECOND * 10, None);
    println!(
        "{members:>6} members: lookup of homes {lookup_time:?}; \
         unsure after a drain {unsure_after_drain:.4}, \
         after a crash: without time in the key {unsure_after_crash:.4}, \
         minted 1 s later {minted_after_1_s:.4}, 20 s later {minted_after_20_s:.4}; \
         without time after the retention {after_retention:.4}"
    );
}

/// Prints the share of unsure keys in a deployment whose agents all start at once, after a crash of the
/// agent that joined first or last.
fn report_cold_start(members: usize) {
    let unsure_after_crash_of = |index: usize| {
        let mut log =
            Log { records: Vec::new(), last_append: SystemTime::UNIX_EPOCH + WINDOW * 400 };
        (0..members).for_each(|index| log.join(index, index as u128));
        log.join(index, members as u128);
        unsure_share(&log, SECOND, None)
    };
    let (first, last) = (unsure_after_crash_of(0), unsure_after_crash_of(members - 1));
    println!(
        "{members} members, cold start: \
         unsure after a crash of the first {first:.4}, of the last {last:.4}"
    );
}

impl Log {
    fn join(&mut self, index: usize, number: u128) {
        let join = Join {
            target: format!("target-{index}"),
            host: format!("target-{index}"),
            incarnation: incarnation_id(number),
            control: ([127, 0, 0, 1], 1_000 + index as u16).into(),
        };
        self.append(Action::Join(join));
    }

    fn leave(&mut self, index: usize, handed_over: Option<Offset>) {
        let target = format!("target-{index}");
        let incarnation = incarnation_id(index as u128);
        self.append(Action::Leave(Leave { target, incarnation, handed_over, ended: true }));
    }

    fn append(&mut self, action: Action) {
        let record = Record { schema: SCHEMA, at: self.last_append, action };
        self.records.push(serde_json::to_string(&record).expect("a record is JSON"));
    }

    fn fold_records(&self) -> membership::State {
        let mut members = membership::State::default();
        for (offset, record) in (1..).zip(&self.records) {
            members.apply(offset, record).expect("the offsets have no gap");
        }
        members.prune(self.last_append);
        members
    }

    /// Returns the claims of a member that has read all records.
    fn open_claims(&self, incarnation: IncarnationId, clock: Clock, claims: usize) -> State {
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

/// Returns the share of new keys for which the home's immediate verdict is `Unsure`, at the time `later`
/// after the last record. `minted` is the time in the keys, relative to the last record; `None` for keys
/// without a time.
fn unsure_share(log: &Log, later: Duration, minted: Option<Duration>) -> f64 {
    let clock = Clock { now: Instant::now(), wall: log.last_append + later };
    let members = log.fold_records();
    let mut unsure_count = 0;
    let mut states_by_home: std::collections::BTreeMap<IncarnationId, State> = Default::default();
    // Only a key that had another home before can be unsure.
    let moved_keys = (0..KEY_COUNT).filter(|number| members.homes(claim_key_of(*number)).len() > 1);
    for number in moved_keys {
        let home = members.home(claim_key_of(number)).expect("there are members").id;
        let state = states_by_home
            .entry(home)
            .or_insert_with(|| log.open_claims(home, clock, KEY_COUNT as usize));
        let minted = minted.map(|delay| log.last_append + delay);
        let ask =
            Ask { key: claim_key_of(number), attempt: incarnation_id(number), epoch: 1, minted };
        unsure_count += usize::from(verdict(state, clock, ask) == Some(Verdict::Unsure));
    }
    unsure_count as f64 / KEY_COUNT as f64
}

/// Returns the home's immediate verdict on a claim; `None` if it must ask an earlier home first.
fn verdict(state: &mut State, clock: Clock, ask: Ask) -> Option<Verdict> {
    let effects = claim::reduce(state, clock, Event::Claim(ask));
    effects.into_iter().find_map(|effect| match effect {
        Effect::Reply { verdict, .. } => Some(verdict),
        _ => None,
    })
}

/// Grants claims at the only member and prints the time and the resident memory per claim.
fn report_claim_cost(claims: usize) -> io::Result<()> {
    let mut log = Log { records: Vec::new(), last_append: SystemTime::UNIX_EPOCH + WINDOW * 400 };
    log.join(0, 0);
    let clock = Clock { now: Instant::now(), wall: log.last_append };
    let mut state = log.open_claims(incarnation_id(0), clock, claims);
    let resident_before = resident_bytes()?;
    let started_at = Instant::now();
    for number in 0..claims as u128 {
        let ask = Ask {
            key: claim_key_of(number),
            attempt: incarnation_id(number),
            epoch: 1,
            minted: None,
        };
        black_box(verdict(&mut state, clock, ask));
    }
    let (time_per_claim, growth) =
        (started_at.elapsed() / claims as u32, resident_bytes()? - resident_before);
    println!("{claims} claims: {time_per_claim:?} and {} bytes each", growth / claims);
    Ok(())
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> io::Result<usize> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)).and_then(|n| n.parse().ok());
    kib.map(|kib: usize| kib * 1_024)
        .ok_or_else(|| io::Error::other("no VmRSS line in /proc/self/status"))
}

fn claim_key_of(number: u128) -> ClaimKey {
    claim_key_from_text(&format!("decision-{number}"))
}

fn claim_key_from_text(text: &str) -> ClaimKey {
    model::claim::key(&"routing".to_owned(), &text.to_owned())
}

fn incarnation_id(number: u128) -> IncarnationId {
    Uuid::from_u128(number + 1)
}
