//! The cloud and its machines. Each machine runs a worker (`worker.rs`).

use crate::http::{serve, Answer, Request};
use crate::msgpack::{map, text, Value};
use crate::record::Record;
use crate::worker::{Jobs, Worker, WorkerTiming};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct MachineType {
    pub name: &'static str,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub price: f64,
    pub spot_price: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub boot_s: f64,
}

/// Number of machines of a type in a zone: ordinary ones and spot ones.
#[derive(Clone)]
pub struct Capacity {
    pub machine_type: &'static str,
    pub zone: &'static str,
    pub count: u32,
    pub spot: u32,
}

struct Machine {
    machine_type: String,
    zone: String,
    spot: bool,
    rented: Instant,
    running: Option<Instant>,
    gone: Option<Instant>,
    worker: Arc<Worker>,
}

pub struct Cloud {
    types: Vec<MachineType>,
    capacity: Vec<Capacity>,
    boot: Duration,
    lag: Duration,
    machines: Mutex<BTreeMap<String, Machine>>,
    charters: Mutex<BTreeMap<String, Vec<String>>>,
    tokens: Mutex<(f64, Instant)>,
    rps: f64,
    jobs: Arc<Jobs>,
    timing: WorkerTiming,
    record: Arc<Record>,
    controllers: Mutex<Vec<(String, SocketAddr)>>,
}

impl Cloud {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        types: Vec<MachineType>,
        capacity: Vec<Capacity>,
        (boot, lag_s, rps): (Duration, f64, f64),
        jobs: Arc<Jobs>,
        timing: WorkerTiming,
        record: Arc<Record>,
    ) -> (Arc<Cloud>, SocketAddr) {
        let cloud = Arc::new(Cloud {
            types,
            capacity,
            boot,
            lag: Duration::from_secs_f64(lag_s),
            machines: Mutex::default(),
            charters: Mutex::default(),
            tokens: Mutex::new((2.0 * rps, Instant::now())),
            rps,
            jobs,
            timing,
            record,
            controllers: Mutex::default(),
        });
        let handler = cloud.clone();
        let address = serve(Arc::new(move |request| handler.handle(&request)));
        (cloud, address)
    }

    pub fn set_controllers(&self, controllers: Vec<(String, SocketAddr)>) {
        *self.controllers.lock().unwrap() = controllers;
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        let machines = self.machines.lock().unwrap();
        machines.values().filter(|m| m.gone.is_none()).map(|m| m.worker.clone()).collect()
    }

    fn rent(
        self: &Arc<Cloud>,
        machine_type: &str,
        zone: &str,
        spot: bool,
        number: u32,
        boot: Duration,
    ) -> Vec<String> {
        let mut machines = self.machines.lock().unwrap();
        let of_offer = |m: &&Machine| {
            m.machine_type == machine_type && m.zone == zone && m.spot == spot && m.gone.is_none()
        };
        let used = machines.values().filter(of_offer).count() as u32;
        let offer = self.capacity.iter().find(|c| c.machine_type == machine_type && c.zone == zone);
        let total = offer.map_or(0, |c| if spot { c.spot } else { c.count });
        let mut names = Vec::new();
        for _ in 0..number.min(total.saturating_sub(used)) {
            let name = format!("m-{:06}", machines.len() + 1);
            let t = self.types.iter().find(|t| t.name == machine_type).expect("a known type");
            let worker = Worker::new(
                &name,
                t,
                zone,
                spot,
                self.jobs.clone(),
                self.timing,
                self.record.clone(),
            );
            machines.insert(
                name.clone(),
                Machine {
                    machine_type: machine_type.to_string(),
                    zone: zone.to_string(),
                    spot,
                    rented: Instant::now(),
                    running: None,
                    gone: None,
                    worker,
                },
            );
            let (cloud, id) = (self.clone(), name.clone());
            thread::spawn(move || {
                thread::sleep(boot);
                let mut machines = cloud.machines.lock().unwrap();
                let machine = machines.get_mut(&id).expect("a known machine");
                if machine.gone.is_none() {
                    machine.running = Some(Instant::now());
                    let controllers = cloud.controllers.lock().unwrap().clone();
                    Worker::run(&machine.worker, controllers);
                }
            });
            names.push(name);
        }
        names
    }

    fn handle(self: &Arc<Cloud>, request: &Request) -> Answer {
        {
            let mut tokens = self.tokens.lock().unwrap();
            let refilled = tokens.0 + tokens.1.elapsed().as_secs_f64() * self.rps;
            *tokens = (refilled.min(2.0 * self.rps), Instant::now());
            if tokens.0 < 1.0 {
                return Answer::Status(429, map(&[("error", text("too many requests"))]));
            }
            tokens.0 -= 1.0;
        }
        let body = &request.body;
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machine_types") => Answer::Status(200, self.type_list()),
            ("POST", "/machines") => {
                let charter = body.get("charter").text().to_string();
                let mut charters = self.charters.lock().unwrap();
                let names = match charters.get(&charter) {
                    Some(names) => names.clone(),
                    None => self.rent(
                        body.get("hull").text(),
                        body.get("dock").text(),
                        body.get("driftwood").bool(),
                        body.get("number").int().min(50) as u32,
                        self.boot,
                    ),
                };
                self.record.line(format!("cloud: rent {} -> {names:?}", body.json()));
                if names.is_empty() {
                    return Answer::Status(503, map(&[("error", text("no capacity"))]));
                }
                charters.insert(charter, names.clone());
                let names = names.iter().map(|name| text(name)).collect();
                Answer::Status(200, map(&[("berths", Value::List(names))]))
            }
            ("POST", "/machines/return") => {
                let mut machines = self.machines.lock().unwrap();
                for name in body.get("berths").list() {
                    if let Some(machine) = machines.get_mut(name.text()) {
                        machine.worker.destroy();
                        machine.gone.get_or_insert(Instant::now());
                    }
                }
                self.record.line(format!("cloud: return {}", body.json()));
                Answer::Status(200, Value::Map(Vec::new()))
            }
            ("GET", "/machines") => Answer::Status(200, self.machine_list(request)),
            _ => Answer::Status(400, map(&[("error", text("malformed"))])),
        }
    }

    fn type_list(&self) -> Value {
        let types = self.types.iter().map(|t| {
            let offered = self.capacity.iter().filter(|c| c.machine_type == t.name);
            let zones: Vec<Value> = offered.map(|c| text(c.zone)).collect();
            map(&[
                ("sku", text(t.name)),
                ("cpus", Value::Float(t.cpus)),
                ("accelerators", Value::Float(t.gpus)),
                ("memory_gb", Value::Float(t.memory_gb)),
                ("cache_gb", Value::Float(t.cache_gb)),
                ("fetch_gb_per_s", Value::Float(t.fetch_gb_per_s)),
                ("price", Value::Float(t.price)),
                ("market_price", Value::Float(t.spot_price)),
                ("boot_s", Value::Float(t.boot_s)),
                ("docks", Value::List(zones)),
            ])
        });
        map(&[("hulls", Value::List(types.collect()))])
    }

    /// The list as it was `list_lag_s` ago.
    fn machine_list(&self, request: &Request) -> Value {
        let machines = self.machines.lock().unwrap();
        let from = request.query("from");
        let most = request.query("most").parse().unwrap_or(500).min(500);
        let now = Instant::now();
        let is_past = |at: Instant| now.saturating_duration_since(at) >= self.lag;
        let mut listed = machines.iter().filter(|(name, m)| {
            name.as_str() > from && is_past(m.rented) && !m.gone.is_some_and(is_past)
        });
        let page: Vec<Value> = listed
            .by_ref()
            .take(most)
            .map(|(name, m)| {
                let status = if m.running.is_some_and(is_past) { "running" } else { "starting" };
                let held = now.saturating_duration_since(m.rented).saturating_sub(self.lag);
                map(&[
                    ("name_id", text(name)),
                    ("addr", text(&m.worker.address())),
                    ("hull", text(&m.machine_type)),
                    ("dock", text(&m.zone)),
                    ("driftwood", Value::Bool(m.spot)),
                    ("status", text(status)),
                    ("held_s", Value::Float(held.as_secs_f64())),
                ])
            })
            .collect();
        let has_next = listed.next().is_some();
        map(&[("berths", Value::List(page)), ("has_next", Value::Bool(has_next))])
    }
}
