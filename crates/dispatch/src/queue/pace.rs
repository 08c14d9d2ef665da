use std::time::Duration;

use hgw_config::Urgency;

use crate::Job;

/// Weight of a new measurement in each mean.
const WEIGHT: f64 = 0.1;

/// Prompt tokens that engines are taken to compute in one step until measured.
const PROMPT_TOKENS_A_STEP: f64 = 64.0;

/// How fast an upstream works, from what its answers showed. Times in microseconds.
#[derive(Debug)]
pub(super) struct Pace {
    step: f64,
    prompt_token: f64,
    call: f64,
    mean_prompt: f64,
    /// Slot time of a usual urgent request; none until one was asked for.
    usual: Option<f64>,
    /// Share of the tokens asked for that answers really have, by urgency.
    used: [f64; 2],
}

fn mean(value: &mut f64, measured: f64) {
    *value += WEIGHT * (measured - *value);
}

impl Pace {
    pub(super) fn new(first_guess: Duration) -> Self {
        let step = first_guess.as_micros() as f64;
        Pace {
            step,
            prompt_token: step / PROMPT_TOKENS_A_STEP,
            call: step,
            mean_prompt: 256.0,
            usual: None,
            used: [1.0; 2],
        }
    }

    /// The first token of a prompt of this many tokens came after `took`.
    pub(super) fn first_token(&mut self, prompt: u32, took: Duration) {
        let prompt = f64::from(prompt.max(1));
        let compute = (took.as_micros() as f64 - self.step).max(0.0);
        mean(&mut self.prompt_token, compute / prompt);
        mean(&mut self.mean_prompt, prompt);
    }

    /// This many further tokens took this long.
    pub(super) fn tokens(&mut self, tokens: u32, took: Duration) {
        if tokens > 0 {
            mean(&mut self.step, took.as_micros() as f64 / f64::from(tokens));
        }
    }

    /// The upstream's own word on its step; used when its answers show nothing.
    pub(super) fn reported_step(&mut self, step: Duration) {
        mean(&mut self.step, step.as_micros() as f64);
    }

    /// An answer was whole after this many of the tokens asked for.
    pub(super) fn whole(&mut self, urgency: Urgency, asked: u32, got: u32) {
        mean(&mut self.used[index(urgency)], f64::from(got) / f64::from(asked.max(1)));
    }

    /// A plain call took this long.
    pub(super) fn called(&mut self, took: Duration) {
        mean(&mut self.call, took.as_micros() as f64);
    }

    /// An urgent request was offered.
    pub(super) fn asked(&mut self, job: &Job) {
        let time = self.until_end(job) as f64;
        mean(self.usual.get_or_insert(time), time);
    }

    /// Slot time of a request, as a multiple of the usual one.
    pub(super) fn length(&self, job: &Job) -> f64 {
        let time = self.until_end(job) as f64;
        time / self.usual.unwrap_or(time).max(1.0)
    }

    /// Time from start to first token, or to the answer of a plain call.
    pub(super) fn until_first(&self, job: &Job) -> u64 {
        match job.model {
            Some(_) => (f64::from(job.prompt.0) * self.prompt_token + self.step) as u64,
            None => self.call as u64,
        }
    }

    /// Time from start to what the deadline is for.
    pub(super) fn until_due(&self, job: &Job) -> u64 {
        match job.urgency {
            Urgency::Urgent => self.until_first(job),
            Urgency::Deferrable => self.until_end(job),
        }
    }

    /// Time from start to end.
    pub(super) fn until_end(&self, job: &Job) -> u64 {
        self.until_first(job) + self.rest(job, 0)
    }

    /// Time that the tokens after the first `done` take.
    pub(super) fn rest(&self, job: &Job, done: u32) -> u64 {
        let left = f64::from(job.output.0.saturating_sub(done));
        (left * self.used[index(job.urgency)] * self.step) as u64
    }

    /// Tokens that the batch emits for one request in this time.
    pub(super) fn tokens_in(&self, time: Duration) -> u32 {
        (time.as_micros() as f64 / self.step.max(1.0)) as u32
    }

    /// Time from start to first token of a usual request.
    pub(super) fn usual_first(&self, plain: bool) -> u64 {
        if plain {
            self.call as u64
        } else {
            (self.mean_prompt * self.prompt_token + self.step) as u64
        }
    }

    pub(super) fn step(&self) -> Duration {
        Duration::from_micros(self.step as u64)
    }
}

fn index(urgency: Urgency) -> usize {
    usize::from(!urgency.is_urgent())
}
