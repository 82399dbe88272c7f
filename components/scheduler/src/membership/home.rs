//! Homes of a key: rendezvous hashing over the members, now and within the window.

use std::{cmp::Ordering, collections::BinaryHeap};

use model::id::{ClaimKey, IncarnationId, Offset};

use super::{End, Former, Incarnation, State};

/// A run of an agent that is, or was, a key's home.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Home<'a> {
    /// The run.
    pub incarnation: &'a Incarnation,
    /// Its end; `None` while it is a member.
    pub former: Option<&'a Former>,
    /// Offset at which it stopped to be the key's home; `Offset::MAX` while it is.
    pub until: Offset,
}

/// A run with its score for one key, and the offsets between which it was a member.
struct Candidate<'a> {
    score: u64,
    incarnation: &'a Incarnation,
    former: Option<&'a Former>,
}

/// Offsets from `from` to before `to`.
#[derive(Clone, Copy)]
struct Span {
    from: Offset,
    to: Offset,
}

impl State {
    /// The key's home in this epoch.
    pub fn home(&self, key: ClaimKey) -> Option<&Incarnation> {
        best(self.members.values(), key)
    }

    /// The key's home once an agent has left.
    pub fn next_home(&self, key: ClaimKey, leaving: IncarnationId) -> Option<&Incarnation> {
        best(self.members.values().filter(|member| member.id != leaving), key)
    }

    /// Every run that was the key's home at some epoch within the window, best score first.
    ///
    /// Scores don't change between epochs: the best run was the home for as long as it was a
    /// member, the next best for what remains, until the whole window is covered.
    pub fn homes(&self, key: ClaimKey) -> Vec<Home<'_>> {
        let mut open = vec![Span { from: self.window_start, to: Offset::MAX }];
        let mut candidates = self.candidates(key);
        let mut homes = Vec::new();
        while let Some(candidate) = candidates.pop().filter(|_| !open.is_empty()) {
            let span = candidate.span();
            let until = open.iter().filter_map(|gap| gap.overlap(span)).map(|part| part.to).max();
            if let Some(until) = until {
                let Candidate { incarnation, former, .. } = candidate;
                homes.push(Home { incarnation, former, until });
                open = open.iter().flat_map(|gap| gap.without(span)).collect();
            }
        }
        homes
    }

    fn candidates(&self, key: ClaimKey) -> BinaryHeap<Candidate<'_>> {
        let members = self.members.values().map(|incarnation| (incarnation, None));
        let former = self.former.iter().map(|former| (&former.incarnation, Some(former)));
        let candidates = members.chain(former).map(|(incarnation, former)| Candidate {
            score: score(key, incarnation),
            incarnation,
            former,
        });
        candidates.collect::<Vec<_>>().into()
    }
}

impl Home<'_> {
    /// Whether this run's claims are somewhere else by now, so that nobody need ask it.
    pub fn handed_over(&self) -> bool {
        self.former.is_some_and(|former| former.end == End::HandedOver)
    }
}

impl Candidate<'_> {
    fn span(&self) -> Span {
        let to = self.former.map_or(Offset::MAX, |former| former.left);
        Span { from: self.incarnation.joined, to }
    }
}

impl Eq for Candidate<'_> {}

impl Ord for Candidate<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_score = self.score.cmp(&other.score);
        let by_name = || other.incarnation.target.cmp(&self.incarnation.target);
        by_score.then_with(by_name).then_with(|| {
            let (own, others) = (self.incarnation.joined, other.incarnation.joined);
            own.cmp(&others)
        })
    }
}

impl PartialEq for Candidate<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl PartialOrd for Candidate<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Span {
    fn overlap(self, other: Span) -> Option<Span> {
        let span = Span { from: self.from.max(other.from), to: self.to.min(other.to) };
        (span.from < span.to).then_some(span)
    }

    fn without(self, other: Span) -> impl Iterator<Item = Span> {
        let before = Span { from: self.from, to: self.to.min(other.from) };
        let after = Span { from: self.from.max(other.to), to: self.to };
        [before, after].into_iter().filter(|span| span.from < span.to)
    }
}

fn best<'a>(
    members: impl Iterator<Item = &'a Incarnation>,
    key: ClaimKey,
) -> Option<&'a Incarnation> {
    let scored = members.map(|incarnation| Candidate {
        score: score(key, incarnation),
        incarnation,
        former: None,
    });
    scored.max().map(|candidate| candidate.incarnation)
}

/// Hash of a target's name.
pub(super) fn seed(target: &str) -> u64 {
    let mut word = [0; size_of::<u64>()];
    blake3::Hasher::new().update(target.as_bytes()).finalize_xof().fill(&mut word);
    u64::from_le_bytes(word)
}

/// A member's score for a key. Both are hashes already, so a cheap mix is enough: a claim at the
/// target size costs ten thousand of these, where `placement` scores a pool's few targets.
fn score(key: ClaimKey, incarnation: &Incarnation) -> u64 {
    let low = key as u64;
    let high = (key >> u64::BITS) as u64;
    mix(mix(low ^ incarnation.seed) ^ high)
}

/// The finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
fn mix(word: u64) -> u64 {
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
