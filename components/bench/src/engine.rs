//! Model of one engine: continuous batching, prefill that shares the step, a prefix cache.

use std::{collections::VecDeque, time::Duration};

use model::{id::RequestId, reservation::BlockHash};

use crate::{
    cache::{self, BLOCK_TOKENS, Cache},
    workload::Shape,
};

/// What an engine is asked to do.
#[derive(Clone, Debug)]
pub struct Task {
    /// The attempt that it serves.
    pub request: RequestId,
    /// Blocks of the whole prompt.
    pub blocks: Vec<BlockHash>,
    /// Tokens of the prompt.
    pub prefill: u32,
    /// Tokens that it will generate.
    pub generated: u32,
    /// Most tokens that it may hold.
    pub held: u64,
}

/// A task in the batch.
#[derive(Clone, Debug)]
pub struct Run {
    /// What it does.
    pub task: Task,
    /// Leading blocks that were cached at its admission.
    pub hits: usize,
    /// Tokens of prompt still to prefill.
    prefill_left: u32,
    generated_left: u32,
    /// Tokens of prompt to prefill in the step that runs.
    chunk: u32,
    /// Tokens prefilled so far.
    pub prefilled: u32,
    /// Prefilled tokens that another target of the pool held; whoever drives the engine tells.
    pub recomputed: u32,
}

/// The engine.
#[derive(Clone, Debug)]
pub struct Engine {
    shape: Shape,
    speed: f64,
    /// Steps take this many times longer.
    pub slowness: u32,
    queue: VecDeque<Task>,
    batch: Vec<Run>,
    /// Tokens that the batch may come to hold; at most the shape's unless one task is larger.
    held: u64,
    /// Its prefix cache.
    pub cache: Cache,
    /// Whether a step runs.
    pub stepping: bool,
}

/// Gives an idle engine with an empty cache.
pub fn open(shape: Shape, speed: f64) -> Engine {
    Engine {
        shape,
        speed,
        slowness: 1,
        queue: VecDeque::new(),
        batch: Vec::new(),
        held: 0,
        cache: cache::open(shape.cache_blocks),
        stepping: false,
    }
}

impl Engine {
    /// Tasks that wait or run.
    pub fn load(&self) -> usize {
        self.queue.len() + self.batch.len()
    }

    /// Tasks that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Takes a task; the engine knows no priorities.
    pub fn submit(&mut self, task: Task) {
        self.queue.push_back(task);
    }

    /// Takes a task out wherever it is; gives its run if it had begun.
    pub fn cancel(&mut self, request: RequestId) -> Option<Run> {
        self.queue.retain(|task| task.request != request);
        let index = self.batch.iter().position(|run| run.task.request == request)?;
        let run = self.batch.remove(index);
        self.held -= run.task.held;
        Some(run)
    }

    /// Takes everything out, as a crash does.
    pub fn clear(&mut self) -> Vec<RequestId> {
        let waiting = self.queue.drain(..).map(|task| task.request);
        let running = self.batch.drain(..).map(|run| run.task.request);
        self.held = 0;
        self.stepping = false;
        self.cache = cache::open(self.shape.cache_blocks);
        waiting.chain(running).collect()
    }

    /// Admits what fits, in the order of arrival; gives the new runs.
    pub fn admit(&mut self) -> &[Run] {
        let known = self.batch.len();
        while let Some(task) = self.queue.front() {
            let fits = self.held + task.held <= self.shape.tokens || self.batch.is_empty();
            if self.batch.len() >= self.shape.slots || !fits {
                break;
            }
            self.held += task.held;
            let hits = self.cache.hit(&task.blocks);
            let cached = (hits as u32 * BLOCK_TOKENS).min(task.prefill.saturating_sub(1));
            let task = self.queue.pop_front().expect("the front was seen");
            self.batch.push(Run {
                hits,
                prefill_left: task.prefill - cached,
                generated_left: task.generated,
                chunk: 0,
                prefilled: 0,
                recomputed: 0,
                task,
            });
        }
        &self.batch[known..]
    }

    /// Notes how much of a run's prefill another target of the pool holds.
    pub fn note(&mut self, request: RequestId, recomputed: u32) {
        let run = self.batch.iter_mut().find(|run| run.task.request == request);
        if let Some(run) = run {
            run.recomputed = recomputed;
        }
    }

    /// Plans the next step and gives its time; `None` where nothing runs.
    pub fn begin(&mut self) -> Option<Duration> {
        if self.batch.is_empty() {
            return None;
        }
        let mut budget = self.shape.chunk;
        let mut decoding = 0;
        for run in &mut self.batch {
            run.chunk = run.prefill_left.min(budget);
            budget -= run.chunk;
            decoding += u64::from(run.prefill_left == 0);
        }
        let prefill = u64::from(self.shape.chunk - budget);
        let work = decoding * self.shape.run_us + prefill * self.shape.prefill_us;
        let time = Duration::from_micros(self.shape.step_us + work);
        self.stepping = true;
        Some(time.div_f64(self.speed) * self.slowness)
    }

    /// Ends the step that runs; gives the runs that are done.
    pub fn end(&mut self) -> Vec<Run> {
        self.stepping = false;
        for run in &mut self.batch {
            let decodes = run.prefill_left == 0;
            run.generated_left -= u32::from(decodes && run.chunk == 0);
            run.prefill_left -= run.chunk;
            run.prefilled += run.chunk;
            if run.chunk > 0 && run.prefill_left == 0 {
                run.task.blocks.iter().for_each(|block| self.cache.insert(*block));
            }
            run.chunk = 0;
        }
        let done = self.batch.extract_if(.., |run| run.generated_left == 0);
        let done: Vec<Run> = done.collect();
        self.held -= done.iter().map(|run| run.task.held).sum::<u64>();
        done
    }
}
