//! Homes of a key: the members to which rendezvous hashing assigns it, now and within [`WINDOW`].
//!
//! [`WINDOW`]: super::WINDOW

use std::{cmp::Ordering, collections::BinaryHeap};

use model::id::{ClaimKey, IncarnationId, Offset};

use super::{End, Former, Incarnation, State};

/// Incarnation that is, or was, the home of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Home<'a> {
    /// Incarnation that is or was the home.
    pub incarnation: &'a Incarnation,
    /// End of the incarnation; `None` while it is a member.
    pub former: Option<&'a Former>,
    /// Offset of the record with which the incarnation ceased to be the key's home; `Offset::MAX`
    /// while it is the home.
    pub until: Offset,
}

/// Incarnation with its score for one key. The incarnation with the highest score is the home.
struct Candidate<'a> {
    score: u64,
    incarnation: &'a Incarnation,
    former: Option<&'a Former>,
}

/// Offsets from `from`, inclusive, to `to`, exclusive.
#[derive(Clone, Copy)]
struct Span {
    from: Offset,
    to: Offset,
}

impl State {
    /// Returns the key's home in the current epoch; `None` without members.
    pub fn home(&self, key: ClaimKey) -> Option<&Incarnation> {
        highest_scored(self.members.values(), key)
    }

    /// Returns the home that the key has once the incarnation `leaving` has left; `None` without
    /// other members.
    pub fn next_home(&self, key: ClaimKey, leaving: IncarnationId) -> Option<&Incarnation> {
        highest_scored(self.members.values().filter(|member| member.id != leaving), key)
    }

    /// Returns every incarnation that was the key's home at some epoch within the window, in
    /// descending order of scores.
    ///
    /// Scores don't change between epochs. The incarnation with the highest score was the home for
    /// as long as it was a member, the one with the next highest score for the remaining offsets,
    /// and so on until the whole window is covered.
    pub fn homes(&self, key: ClaimKey) -> Vec<Home<'_>> {
        let mut uncovered = vec![Span { from: self.window_start, to: Offset::MAX }];
        let mut candidates = self.candidates(key);
        let mut homes = Vec::new();
        while let Some(candidate) = candidates.pop().filter(|_| !uncovered.is_empty()) {
            let span = candidate.span();
            let overlaps = uncovered.iter().filter_map(|gap| gap.overlap(span));
            let until = overlaps.map(|overlap| overlap.to).max();
            if let Some(until) = until {
                let Candidate { incarnation, former, .. } = candidate;
                homes.push(Home { incarnation, former, until });
                uncovered = uncovered.iter().flat_map(|gap| gap.without(span)).collect();
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
    /// Returns whether the incarnation handed its claims over before it left, so that it need not
    /// be asked.
    pub fn has_handed_over(&self) -> bool {
        self.former.is_some_and(|former| former.end == End::HandedOver)
    }
}

impl Candidate<'_> {
    /// Returns the offsets, in the stream of join and leave records, at which the incarnation was a
    /// member.
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

/// Returns the member with the highest score for a key.
fn highest_scored<'a>(
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

/// Returns the hash of a target's name that enters the scores of its agent's incarnations.
pub(super) fn hash(target: &str) -> u64 {
    let mut bytes = [0; size_of::<u64>()];
    blake3::Hasher::new().update(target.as_bytes()).finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}

/// Returns an incarnation's score for a key.
///
/// The key and the target's hash are well distributed, so a cheap mix is enough. It has to be
/// cheap: with the ten thousand members that the system is designed for, one claim computes ten
/// thousand scores, whereas `placement` scores only the few targets of a pool.
fn score(key: ClaimKey, incarnation: &Incarnation) -> u64 {
    let low = key as u64;
    let high = (key >> u64::BITS) as u64;
    mix(mix(low ^ incarnation.target_hash) ^ high)
}

/// Finalizer of SplitMix64 (Steele, Lea and Flood, 2014): maps similar inputs to unrelated outputs.
fn mix(word: u64) -> u64 {
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
