//! Measures the time of a plan, an adapter placement and a choice at the sizes of large
//! deployments.

use std::hint::black_box;
use std::time::{Duration, Instant};

use hgw_direct::placement::{AllowedActions, PendingLoads, next_model_load, place_adapter};
use hgw_direct::{
    CachedWeights, ChoiceParams, CostWeights, Cursor, Demand, Engine, EngineId, EngineInfo,
    EngineState, Engines, LoadedModel, Model, ModelPool, ModelRef, Prompt, PromptPart, ServiceId,
    StartTime, VersionRule, choose_engine,
};

/// Number of measurements, of which the median is printed.
const ROUNDS: usize = 201;

#[expect(clippy::print_stdout, reason = "the figures are what the program is for")]
fn main() {
    for (engines, models, adapters) in
        [(9, 17, 61), (60, 84, 304), (112, 206, 580), (600, 1_500, 0)]
    {
        let world = World::new(engines, models, adapters);
        let plan = world.plan();
        let adapter = world.adapter();
        let choice = world.choice();
        println!("{engines} engines, {models} models, {adapters} adapters:");
        println!("  a plan {plan:?}, an adapter {adapter:?}, a choice {choice:?}");
    }
}

struct World {
    engines: Engines,
    pool: ModelPool,
    demand: Demand,
    service: ServiceId,
}

impl World {
    fn new(engines: usize, models: usize, adapters: usize) -> World {
        let service = ServiceId::from("service");
        let name = |m: usize| format!("model-{m}");
        let model = Model {
            weights_mb: 70_000.0,
            store_load_time: Duration::from_secs(6),
            disk_load_time: Duration::from_secs(1),
            memory_load_time: Duration::from_millis(500),
            adapters: (adapters / models) as u32,
            adapter_mb: 66.0,
        };
        let pool = ModelPool {
            slots: 24,
            weights_mb: 230_000.0,
            adapter_slots: 8,
            loads_per_s: 12.0,
            models: (0..models).map(|m| (name(m), model.clone())).collect(),
            ..ModelPool::default()
        };
        let mut all = Engines::default();
        for e in 0..engines {
            let held = |m: usize| LoadedModel { model: name(m % models), adapters: Vec::new() };
            let info = EngineInfo {
                id: EngineId(format!("i-{e:010x}")),
                position: Cursor::default(),
                service: service.clone(),
                software: None,
                addr: ([10, 0, (e / 250) as u8, (e % 250) as u8], 80).into(),
                domain: format!("zone-{}", e % 5),
                slots: 24,
                started_at: StartTime::default(),
                state: EngineState::Ready,
                loaded: (0..3).map(|n| held(e * 3 + n)).collect(),
                cached: CachedWeights::default(),
                warmup_ms_left: 0,
            };
            all.upsert(info);
        }
        let mut demand = Demand::default();
        for m in 0..models {
            let adapter = (adapters > 0).then(|| format!("a{}", m % 8));
            let model_ref = ModelRef { model: name(m), adapter };
            demand.record(900, &model_ref, 400.0 / (m + 1) as f64);
        }
        World { engines: all, pool, demand, service }
    }

    fn all(&self) -> Vec<&Engine> {
        self.engines.iter().collect()
    }

    fn plan(&self) -> Duration {
        let rates = self.demand.rates(1_000);
        let allowed = AllowedActions { load_from_store: true, evict: true };
        timed(|| {
            next_model_load(&self.all(), &self.pool, &rates, &PendingLoads::new(), allowed, 1_000)
        })
    }

    fn adapter(&self) -> Duration {
        let model_ref = ModelRef { model: "model-0".into(), adapter: Some("a9".into()) };
        let (all, pool) = (self.all(), &self.pool);
        timed(|| place_adapter(&all, pool, &self.demand, &model_ref, "zone-1", 1_000))
    }

    fn choice(&self) -> Duration {
        let prompt = Prompt {
            model_ref: Some(ModelRef { model: "model-0".into(), adapter: None }),
            prompt_tokens: 700,
            max_output_tokens: 300,
            length_hint: None,
            parts: vec![PromptPart { id: 1, tokens: 700 }],
        };
        let params = ChoiceParams {
            service: &self.service,
            versions: VersionRule::Any,
            prompt: Some(&prompt),
            domain: "zone-1",
            excluded: &[],
            nodes: 80,
            max_conns: 640,
            has_precedence: false,
            max_event_gap: None,
            speed_needs: None,
            can_wait: false,
            memory: None,
            random: 0.3,
            subset: None,
            weights: CostWeights::default(),
        };
        timed(|| choose_engine(&self.engines, &params, 1_000))
    }
}

fn timed<T>(work: impl Fn() -> T) -> Duration {
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            let began = Instant::now();
            black_box(work());
            began.elapsed()
        })
        .collect();
    times.sort();
    times[ROUNDS / 2]
}
