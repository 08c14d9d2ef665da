//! Measures the time of a plan, an adapter placement and a choice at the sizes of large
//! deployments.

use std::hint::black_box;
use std::time::{Duration, Instant};

use hgw_direct::place::{Allowed, Pending, next_model_step, place_adapter};
use hgw_direct::{
    Ask, AtHand, Cursor, Demand, Engine, EngineId, Engines, Held, Listed, Model, Part, Policy,
    Pool, Prompt, ServiceId, Standing, Start, Wanted, choose,
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
    pool: Pool,
    demand: Demand,
    service: ServiceId,
}

impl World {
    fn new(engines: usize, models: usize, adapters: usize) -> World {
        let service = ServiceId::from("service");
        let name = |m: usize| format!("model-{m}");
        let model = Model {
            weights_mb: 70_000.0,
            load: Duration::from_secs(6),
            from_disk: Duration::from_secs(1),
            from_memory: Duration::from_millis(500),
            adapters: (adapters / models) as u32,
            adapter_mb: 66.0,
        };
        let pool = Pool {
            slots: 24,
            weights_mb: 230_000.0,
            adapter_slots: 8,
            loads_per_s: 12.0,
            models: (0..models).map(|m| (name(m), model.clone())).collect(),
        };
        let mut all = Engines::default();
        for e in 0..engines {
            let held = |m: usize| Held { model: name(m % models), adapters: Vec::new() };
            let listed = Listed {
                id: EngineId(format!("i-{e:010x}")),
                at: Cursor::default(),
                service: service.clone(),
                addr: ([10, 0, (e / 250) as u8, (e % 250) as u8], 80).into(),
                domain: format!("zone-{}", e % 5),
                slots: 24,
                start: Start::default(),
                standing: Standing::Ready,
                held: (0..3).map(|n| held(e * 3 + n)).collect(),
                at_hand: AtHand::default(),
                cold_ms: 0,
            };
            all.list(listed);
        }
        let mut demand = Demand::default();
        for m in 0..models {
            let adapter = (adapters > 0).then(|| format!("a{}", m % 8));
            let wanted = Wanted { model: name(m), adapter };
            demand.saw(900, &wanted, 400.0 / (m + 1) as f64);
        }
        World { engines: all, pool, demand, service }
    }

    fn all(&self) -> Vec<&Engine> {
        self.engines.iter().collect()
    }

    fn plan(&self) -> Duration {
        let rates = self.demand.rates(1_000);
        let allowed = Allowed { store: true, drop: true };
        timed(|| next_model_step(&self.all(), &self.pool, &rates, &Pending::new(), allowed, 1_000))
    }

    fn adapter(&self) -> Duration {
        let wanted = Wanted { model: "model-0".into(), adapter: Some("a9".into()) };
        let (all, pool) = (self.all(), &self.pool);
        timed(|| place_adapter(&all, pool, &self.demand, &wanted, "zone-1", 1_000))
    }

    fn choice(&self) -> Duration {
        let prompt = Prompt {
            wanted: Some(Wanted { model: "model-0".into(), adapter: None }),
            tokens_in: 700,
            tokens_out: 300,
            parts: vec![Part { id: 1, tokens: 700 }],
        };
        let ask = Ask {
            service: &self.service,
            prompt: Some(&prompt),
            domain: "zone-1",
            tried: &[],
            nodes: 80,
            conns: 8,
            goes_first: false,
            gap: None,
            waits: false,
            draw: 0.3,
            policy: Policy::default(),
        };
        timed(|| choose(&self.engines, &ask, 1_000))
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
