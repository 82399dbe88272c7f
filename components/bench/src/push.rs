//! The plain policies: an entry pushes each request at once into an engine's own queue.

use std::time::Duration;

use model::{id::RequestId, refusal::Reason, reservation::BlockHash};

use crate::{
    arrival::hash,
    policy::View,
    scenario::Fault,
    tally::End,
    world::{Event, World, job_of},
};

/// Most requests that wait in an engine's own queue.
const ENGINE_WAITING: usize = 256;
/// Wait that a full or dead engine advises.
const RETRY: Duration = Duration::from_secs(1);

impl World<'_> {
    pub(crate) fn push(&mut self, request: RequestId, entry: usize) {
        let job = &self.jobs[job_of(request)];
        let up = |target: &usize| self.agents[*target].is_some();
        let targets: Vec<usize> = self.site.pool(job.pool).filter(up).collect();
        let Some(home) = self.home(job.prefix.last().copied(), request, &targets) else {
            return self.refuse(request, Reason::NoTarget, Some(RETRY));
        };
        let turn = self.turns[entry];
        self.turns[entry] += 1;
        let reports = self.reports.front().map_or(&[][..], Vec::as_slice);
        let view = View { targets: &targets, reports, home, turn };
        let target = self.policy.choose(&view, &mut self.random);
        let at = self.now + self.link(entry, target);
        self.queue.push(at, Event::Submit { request, target });
    }

    /// Weighted rendezvous hashing of the whole shared beginning.
    fn home(
        &self,
        prefix: Option<BlockHash>,
        request: RequestId,
        targets: &[usize],
    ) -> Option<usize> {
        let key = prefix.unwrap_or(request.as_u64_pair().1);
        let score = |target: usize| {
            let uniform = (hash([key, target as u64]) >> 11) as f64 + 0.5;
            let uniform = uniform / (1_u64 << 53) as f64;
            -f64::from(self.site.targets[target].speed_percent) / uniform.ln()
        };
        targets.iter().copied().max_by(|a, b| score(*a).total_cmp(&score(*b)))
    }

    pub(crate) fn submit_pushed(&mut self, request: RequestId, target: usize) {
        if self.agents[target].is_none() {
            return self.refuse(request, Reason::NoTarget, Some(RETRY));
        }
        if self.engines[target].waiting() >= ENGINE_WAITING {
            return self.refuse(request, Reason::Overloaded, Some(RETRY));
        }
        self.submit(request, target);
    }

    pub(crate) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow(target, slowness) => self.engines[target].slowness = slowness,
            Fault::Crash(target) => self.crash(target),
            Fault::Restart(target) => self.agents[target] = Some(self.open_agent(target)),
            Fault::CrashEntry(entry) if self.policy.pushes() => self.crash_pushing(entry),
            Fault::CrashEntry(entry) => self.lose_entry(entry),
            Fault::RestartEntry(entry) => self.entries[entry] = Some(self.open_entry(entry)),
        }
    }

    fn crash(&mut self, target: usize) {
        self.agents[target] = None;
        self.agent_wakes[target] = None;
        self.eras[target] += 1;
        let waits = self.waits.iter().filter(|(_, wait)| wait.target == target);
        let waits: Vec<_> = waits.map(|(id, _)| *id).collect();
        for id in waits {
            self.lose_wait(id);
        }
        let dispatched = |target: usize, attempt: &crate::world::Attempt| {
            attempt.target == Some(target) && attempt.done.is_none()
        };
        let attempts = self.attempts.iter().filter(|(_, attempt)| dispatched(target, attempt));
        let requests: Vec<RequestId> = attempts.map(|(id, _)| *id).collect();
        for request in requests {
            self.cut(request, End::Lost);
        }
        self.engines[target].clear();
    }

    fn crash_pushing(&mut self, entry: usize) {
        self.entries[entry] = None;
        let attempts = self.attempts.iter().filter(|(_, attempt)| attempt.entry == entry);
        let requests: Vec<RequestId> = attempts.map(|(id, _)| *id).collect();
        for request in requests {
            self.cut(request, End::Lost);
        }
    }
}
