//! Arrivals in the state service: what the board is told of jobs, what it makes of that, and its records.

use super::plugins::problem;
use super::{Node, Purpose, Reply, RequestId};
use crate::constants::*;
use crate::job::{Ending, Job, JobId, JobState, Stage, StoredJob, keys};
use crate::store::{Call, Outcome, Patience, Urgency};
use crate::tables::{Tables, facts_of};
use serde_json::json;
use std::collections::BTreeMap;
use std::rc::Rc;
use swiftsail_deadline_planning::board::Took;
use swiftsail_deadline_planning::constants::CHANCE;
use swiftsail_deadline_planning::{Arrival, Board, Calendar, Phase, Plan, Work};
use swiftsail_replicated_records::Versioned;

/// Keys among the records of the order.
const PLAN: &str = "dispatch";
const DUE: &str = "due/";
const TOOK: &str = "took/";

impl Tables {
    /// When a job will be done, at the stated chance, and what it waits for. What waits for a place is taken to find
    /// one after a boot and a fetch.
    fn foretold(&self, job: &Job, now: u64) -> (Option<f64>, &'static str) {
        if job.spec.kind == crate::job::Kind::Service {
            return (None, "it runs until it is cancelled");
        }
        let run = |kind: &str| self.history.run_time(&job.id, &job.spec, kind);
        let mut last: f64 = 0.0;
        for attempt in job.attempts.values().filter(|a| a.occupies()) {
            let kind = self.machines.get(&attempt.machine).map_or("", |m| m.kind.as_str());
            let left = match (attempt.stage(), attempt.ran_at) {
                (Stage::Running, Some(at)) => run(kind).remaining(now.saturating_sub(at) as f64),
                _ => crate::chance::Pmf::clone(&run(kind)).later(BOOT_UNKNOWN_MS / 2.0),
            };
            last = last.max(left.within(CHANCE));
        }
        if job.waiting.is_empty() && job.held.is_empty() {
            return (Some(last), "it runs");
        }
        let waits = run("").within(CHANCE) + BOOT_UNKNOWN_MS;
        let why =
            if job.mistaken() { "it fails on every machine" } else { "its tasks wait for a place" };
        (Some(last.max(waits)), why)
    }
}

impl Node {
    /// A new leader has the arrivals of its predecessor, to the millisecond.
    pub(super) fn restore_dispatch(&mut self) {
        let mut board = Board::default();
        for (key, value) in self.order.book.under(DUE) {
            match Arrival::read(key, value) {
                Ok(arrival) => board.restore(key.trim_start_matches(DUE), arrival),
                Err(e) => tracing::error!(cause = %e, "an arrival is not taken over"),
            }
        }
        for (key, value) in self.order.book.under(TOOK) {
            if let Ok(took) = Took::read(key, value) {
                board.restore_took(key.trim_start_matches(TOOK), took);
            }
        }
        self.order.board = board;
        self.order.board_at = 0;
    }

    /// With every timer step of a leader, now and then: arrivals go on.
    pub(super) fn tend_dispatch(&mut self) {
        let now = self.now;
        let Some(calendar) = self.order.calendar.clone() else { return };
        if now.steady < self.order.board_at + DISPATCH_MS || !self.order.book.known() {
            return;
        }
        let Some(leader) = &mut self.leader else { return };
        self.order.board_at = now.steady;
        let board = &mut self.order.board;
        board.foresee(&calendar, now.wall);
        let mut jobs: BTreeMap<&str, Work> = BTreeMap::new();
        for (id, job) in leader.jobs.iter().filter(|(_, j)| j.state() == JobState::Live) {
            let (left, why) = leader.foretold(job, now.steady);
            let work = Work {
                facts: facts_of(id, &job.spec),
                accepted_wall: job.accepted_wall,
                ends_wall: left.map(|ms| now.wall + ms.max(0.0) as u64),
                waits_for: why.into(),
            };
            jobs.insert(id, work);
        }
        let finals = &self.finals;
        let ended = |id: &str| finals.get(id).map(|r| r.ending == Ending::Done);
        let told = board.step(&calendar, &jobs, ended, now.wall);
        for it in told {
            let (step, cause) = it.why.unwrap_or_default();
            match it.phase {
                Phase::Late | Phase::Missed => {
                    tracing::warn!(arrival = %it.key, phase = ?it.phase, step, cause, "a dispatch deadline is in danger");
                }
                phase => tracing::info!(arrival = %it.key, ?phase, "arrival"),
            }
            leader.happenings.note(
                "arrival",
                format!("{:?}", it.phase).to_lowercase(),
                &it.key,
                Some(&cause),
            );
        }
        // The sooner of its own deadline and the arrival's is what a job is judged by.
        let steady = |wall: u64| (now.steady + wall).saturating_sub(now.wall);
        let dues: Vec<(JobId, Option<u64>)> =
            leader.jobs.keys().map(|id| (id.clone(), board.deadline_of(id).map(steady))).collect();
        for (id, due) in dues {
            if let Some(job) = leader.jobs.get_mut(&id) {
                job.plan_due(due);
            }
        }
        for (key, arrival) in board.take_changed() {
            let key = format!("{DUE}{key}");
            match arrival {
                Some(arrival) => drop(self.order.book.put(&key, arrival.record())),
                None => self.order.book.remove(&key),
            }
        }
        for (step, took) in board.take_learnt() {
            self.order.book.put(&format!("{TOOK}{step}"), took.record());
        }
        // What became of a job that ended under another leader stands in its final record.
        let open: Vec<JobId> = board
            .serving()
            .filter(|id| !leader.jobs.contains_key(*id) && !self.finals.contains_key(*id))
            .map(JobId::from)
            .collect();
        for id in open {
            self.read_ended(id, true);
        }
    }

    fn read_ended(&mut self, id: JobId, last_place: bool) {
        let key = keys::place(&id, last_place);
        let until = Patience::Once(self.now.steady + STORE_TIMEOUT_MS);
        let purpose = Purpose::ReadEnded { job: id, last_place };
        self.store.push(Call::Get(key), purpose, Urgency::Tidy, until);
    }

    /// What became of a job has been read.
    pub(super) fn ended_read(&mut self, id: &JobId, last_place: bool, outcome: Outcome) {
        match outcome {
            Outcome::Found(pair) if last_place => {
                if let Ok(record) = serde_json::from_value(pair.value) {
                    self.remember_final(id, record);
                }
            }
            Outcome::Found(pair) => {
                if let Some(StoredJob::Over(record)) = StoredJob::read(&pair.value) {
                    self.remember_final(id, record);
                }
            }
            // It may stand in its first place yet.
            Outcome::Missing { .. } if last_place => self.read_ended(id.clone(), false),
            _ => {}
        }
    }

    /// The plan of the highest version counts, as with tiers.
    pub(super) fn read_plan(&mut self) {
        let found = self.order.book.committed(PLAN);
        let held = found.map(|value| Plan::read(PLAN, value));
        if let Some(Err(e)) = &held {
            tracing::error!(cause = %e, "the plan in force stays");
            return;
        }
        let there = held.as_ref().and_then(|h| h.as_ref().ok()).map_or(0, |p| p.version);
        if let Some(Ok(plan)) = held
            && self.order.calendar.as_ref().is_none_or(|c| *c.plan() != plan)
        {
            let version = plan.version;
            match Calendar::new(plan) {
                Ok(calendar) => {
                    tracing::info!(version, "dispatch plan in force");
                    self.order.calendar = Some(Rc::new(calendar));
                }
                Err(e) => tracing::error!(cause = %e, "the plan in force stays"),
            }
        }
        let own = self.order.own_plan.clone().filter(|_| self.order.book.known());
        let Some(own) = own.filter(|own| own.plan().version > there && self.leader.is_some())
        else {
            return;
        };
        self.order.book.put(PLAN, own.plan().record());
    }

    /// An operator offers another plan.
    pub(super) fn set_plan(&mut self, request: RequestId, body: &[u8]) {
        let refused = self.refuses_dispatch();
        if let Some(reply) = refused {
            return self.answer(request, reply);
        }
        let offered = serde_json::from_slice::<Plan>(body).map_err(|e| {
            format!("the plan cannot be read: {e}; send JSON with version, arrival, chain")
        });
        let calendar = offered.and_then(|p| Calendar::new(p).map_err(|e| e.to_string()));
        let calendar = match calendar {
            Ok(calendar) => calendar,
            Err(why) => return self.answer(request, problem(422, why)),
        };
        let there = self.order.calendar.as_ref().map_or(0, |c| c.plan().version);
        if calendar.plan().version <= there {
            let why = format!("plan {there} is in force; give yours a higher version");
            return self.answer(request, problem(409, why));
        }
        self.write_record(request, PLAN, calendar.plan().record());
    }

    fn refuses_dispatch(&self) -> Option<Reply> {
        if self.order.calendar.is_none() {
            let why = "dispatch is switched off; give the operators' file a [dispatch] table";
            return Some(problem(409, why));
        }
        self.leader.is_none().then(|| self.ask_the_leader())
    }

    /// An operator adds one arrival: JSON with name, chain and at_ms, the time of day.
    pub(super) fn add_arrival(&mut self, request: RequestId, body: &[u8]) {
        #[derive(serde::Deserialize)]
        struct Single {
            name: String,
            chain: String,
            at_ms: u64,
        }
        if let Some(reply) = self.refuses_dispatch() {
            return self.answer(request, reply);
        }
        let single = match serde_json::from_slice::<Single>(body) {
            Ok(single) => single,
            Err(e) => {
                let why =
                    format!("the arrival cannot be read: {e}; send JSON with name, chain, at_ms");
                return self.answer(request, problem(400, why));
            }
        };
        let Single { name, chain, at_ms } = single;
        let named = !name.is_empty()
            && name.len() <= swiftsail_deadline_planning::constants::NAME_MOST
            && name.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-');
        if !named || at_ms <= self.now.wall {
            let why =
                "a name has 1 to 40 lower-case letters, digits and dashes, and the time is to come";
            return self.answer(request, problem(422, why));
        }
        let Some(calendar) = self.order.calendar.clone() else { return };
        let Some(key) = self.order.board.add(&calendar, &name, &chain, at_ms) else {
            let why =
                format!("no chain `{chain}`, or too many arrivals are open; see dispatch show");
            return self.answer(request, problem(422, why));
        };
        let arrival = self.order.board.all().find(|(k, _)| **k == key).map(|(_, a)| a.record());
        self.write_record(request, &format!("{DUE}{key}"), arrival.unwrap_or_default());
    }

    /// All arrivals and their steps, for operators; of one if it is named.
    pub(super) fn show_dispatch(&self, of: Option<&str>) -> Reply {
        if let Some(reply) = self.refuses_dispatch() {
            return reply;
        }
        let now = self.now.wall;
        let its = |key: &str, a: &Arrival| {
            of.is_none_or(|id| id == key || id == a.name || id == a.name.trim_start_matches('+'))
        };
        let rows = self.order.board.all().filter(|(key, a)| its(key, a)).map(|(key, a)| {
            let steps = a.steps.iter().map(|s| {
                json!({
                    "step": s.name,
                    "stage": format!("{:?}", s.stage()).to_lowercase(),
                    "job": s.job,
                    "deadline_ms": s.deadline,
                    "latest_start_ms": s.start,
                    "left_s": (s.deadline as i64 - now as i64) / 1_000,
                })
            });
            json!({
                "arrival": key,
                "name": a.name,
                "chain": a.chain,
                "phase": format!("{:?}", a.phase()).to_lowercase(),
                "in_s": (a.at as i64 - now as i64) / 1_000,
                "stuck_at": a.warned.as_ref().map(|w| &w.0),
                "why": a.warned.as_ref().map(|w| &w.1),
                "steps": steps.collect::<Vec<_>>(),
            })
        });
        let version = self.order.calendar.as_ref().map(|c| c.plan().version);
        Reply::json(200, &json!({ "version": version, "arrivals": rows.collect::<Vec<_>>() }))
    }
}
