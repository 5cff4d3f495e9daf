//! The records that outlive controllers, as this one follows them: the book, and what tiers, dispatch and loans
//! make of it. The leader alone writes, under its key; a new one has read them before its first pass.

use super::plugins::problem;
use super::{Node, Purpose, Reply, RequestId};
use crate::Time;
use crate::constants::*;
use crate::job::{Job, JobId, keys};
use crate::settings::State;
use crate::store::{Call, Outcome, Patience, Urgency};
use crate::tables::{Tables, facts_of};
use serde_json::json;
use std::rc::Rc;
use swiftsail_deadline_planning::{Board, Calendar, Plan};
use swiftsail_replicated_records::{Book, Limits, Txn, Versioned};
use swiftsail_policy::operator::Operator;
use swiftsail_tiers::{Table, TableRecord};
use swiftsail_protocol::state::{Change, Commit, Item, Page, When};
use swiftsail_protocol::users::Spec;

/// Key of the table of tiers.
const TIERS: &str = "tiers";

/// Where this controller stands with the records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sync {
    /// Nothing that needs them is switched on.
    Off,
    /// To be read at this time.
    Due(Time),
    /// Being read.
    Reading,
    /// Being read by a new leader, with everything else.
    Loading,
    /// Known, and watched.
    Watching,
}

/// An operator's request that is answered once its record is committed.
#[derive(Debug)]
struct Waits {
    request: RequestId,
    key: String,
    until: Time,
}

/// What this controller holds of the records.
pub(super) struct Order {
    sync: Sync,
    pub(super) book: Book,
    /// Number of the latest reading: the pages of an earlier one may still come.
    reading: u64,
    /// The watch is open.
    following: bool,
    /// The table of this controller's own file, and the one in force.
    own: Option<Rc<Table>>,
    pub(super) tiers: Rc<Table>,
    /// Loans are held in the state service.
    loans: bool,
    /// The plan of this controller's own file, and the one in force.
    pub(super) own_plan: Option<Rc<Calendar>>,
    pub(super) calendar: Option<Rc<Calendar>>,
    /// Arrivals, and when they were last looked at.
    pub(super) board: Board,
    pub(super) board_at: Time,
    waits: Vec<Waits>,
    /// Version of the book that was last looked at.
    seen: u64,
}

fn limits(state: &State) -> Limits {
    let value_bytes = (state.value_kb * 1024.0) as usize;
    Limits { changes: state.write_rps, txn_ops: state.txn_ops, value_bytes }
}

impl Order {
    pub fn new(operator: &Operator, state: &State, now: Time) -> Order {
        let own = operator.tiers.as_ref().and_then(|file| match Table::compile(record(file)) {
            Ok(table) => Some(Rc::new(table)),
            Err(e) => {
                tracing::error!(cause = %e, "the file's tiers are not sound: they do not count");
                None
            }
        });
        let own_plan = operator.dispatch.clone().and_then(|table| match plan_of(table) {
            Ok(calendar) => Some(Rc::new(calendar)),
            Err(e) => {
                tracing::error!(cause = %e, "the file's dispatch plan is not sound: it does not count");
                None
            }
        });
        let on = operator.tiers.is_some() || operator.loans.durable || own_plan.is_some();
        Order {
            sync: if on { Sync::Due(0) } else { Sync::Off },
            book: Book::new(keys::ORDER, limits(state), now),
            reading: 0,
            following: false,
            tiers: own.clone().unwrap_or_default(),
            own,
            loans: operator.loans.durable,
            calendar: own_plan.clone(),
            own_plan,
            board: Board::default(),
            board_at: 0,
            waits: Vec::new(),
            seen: 0,
        }
    }

    /// The one function that changes where it stands.
    fn advance(&mut self, to: Sync) {
        if self.sync != Sync::Off {
            self.sync = to;
        }
    }

    /// A reading begins: what comes of an earlier one counts no more.
    fn read_anew(&mut self) -> u64 {
        self.reading += 1;
        self.book.reread();
        self.reading
    }

    /// A term ends: what its leader wanted written, and what it was still reading.
    pub fn close(&mut self, now: Time) {
        self.book.close();
        if self.sync == Sync::Loading {
            self.advance(Sync::Due(now));
        }
    }

    /// Whether loans are held in the state service.
    pub fn lends(&self) -> bool {
        self.on() && self.loans
    }

    /// Whether anything that needs the records is switched on.
    pub fn on(&self) -> bool {
        self.sync != Sync::Off
    }
}

/// A file's dispatch plan, checked.
pub fn plan_of(table: toml::Table) -> Result<Calendar, String> {
    let plan: Plan = table.try_into().map_err(|e| format!("[dispatch]: {}", e.message()))?;
    Calendar::new(plan).map_err(|e| e.to_string())
}

/// A file's table as a record.
pub fn record(file: &swiftsail_policy::operator::Tiers) -> TableRecord {
    let tier = |t: &swiftsail_policy::operator::TierLine| swiftsail_tiers::TierLine {
        name: t.name.clone(),
        when: t.when.get_ref().clone(),
        ordered: t.ordered,
    };
    let tiers = file.tier.iter().map(tier).collect();
    TableRecord { form: 0, version: file.version, tiers }
}

impl Node {
    /// With every timer step: reads what is due, sends what the leader wants written, answers who waits for it.
    pub(super) fn tend_order(&mut self) {
        let now = self.now.steady;
        if let Sync::Due(at) = self.order.sync
            && now >= at
        {
            self.order.advance(Sync::Reading);
            let reading = self.order.read_anew();
            self.list_order(None, Purpose::ReadOrder { reading }, Urgency::Work);
        }
        let writes = self.leader.is_some() && self.sure();
        if let Some(txn) = writes.then(|| self.order.book.next(now)).flatten() {
            self.send_order(txn);
        }
        let over = |w: &Waits| now >= w.until;
        let late: Vec<Waits> = self.order.waits.extract_if(.., |w| over(w)).collect();
        for w in late {
            let why = "the state service did not confirm; look at it before trying again";
            self.answer(w.request, problem(503, why));
        }
    }

    fn list_order(&mut self, from: Option<String>, purpose: Purpose, urgency: Urgency) {
        let from = from.map(|key| format!("{}{key}", keys::ORDER));
        let call = Call::List { prefix: keys::ORDER.into(), from };
        let patience = match urgency {
            Urgency::Term => Patience::Always,
            _ => Patience::Once(self.now.steady + STORE_TIMEOUT_MS),
        };
        self.store.push(call, purpose, urgency, patience);
    }

    /// A new leader reads the records with everything else. False: nothing needs them.
    pub(super) fn load_order(&mut self, era: u64) -> bool {
        if !self.order.on() {
            return false;
        }
        self.order.book.close();
        self.order.advance(Sync::Loading);
        self.order.read_anew();
        self.list_order(None, Purpose::LoadOrder { era }, Urgency::Term);
        true
    }

    /// A page of what a new leader reads has come. True: that was the last.
    pub(super) fn order_loaded(&mut self, page: Page, era: u64) -> bool {
        match self.take_order(page) {
            Some(last) => {
                self.list_order(Some(last), Purpose::LoadOrder { era }, Urgency::Term);
                false
            }
            None => {
                self.order.advance(Sync::Watching);
                self.follow_order();
                true
            }
        }
    }

    fn take_order(&mut self, page: Page) -> Option<String> {
        let own = |key: String| key.strip_prefix(keys::ORDER).map(str::to_string).unwrap_or(key);
        let pairs = page.pairs.into_iter().map(|p| (own(p.key), p.value, p.stamp)).collect();
        self.order.book.on_page(pairs, page.epoch, page.has_next)
    }

    fn follow_order(&mut self) {
        let swiftsail_replicated_records::Phase::Known(from) = self.order.book.phase() else { return };
        if std::mem::replace(&mut self.order.following, true) {
            return;
        }
        let call = Call::Follow { prefix: keys::ORDER.into(), from };
        let until = self.now.steady + STORE_TIMEOUT_MS;
        self.store.push(call, Purpose::FollowOrder, Urgency::Tidy, Patience::Once(until));
    }

    /// What came of a call about the records.
    pub(super) fn on_order(&mut self, purpose: &Purpose, outcome: Outcome) {
        let again = Sync::Due(self.now.steady + ORDER_AGAIN_MS);
        match (purpose, outcome) {
            (Purpose::ReadOrder { reading }, _) if *reading != self.order.reading => {}
            (Purpose::ReadOrder { .. }, Outcome::Page(page)) => match self.take_order(page) {
                Some(last) => self.list_order(Some(last), purpose.clone(), Urgency::Work),
                None => {
                    self.order.advance(Sync::Watching);
                    self.follow_order();
                    self.order_changed();
                }
            },
            (Purpose::ReadOrder { .. }, _) => self.order.advance(again),
            (Purpose::FollowOrder, Outcome::News(news)) => {
                self.order.following = false;
                let own = |key: &str| key.strip_prefix(keys::ORDER).unwrap_or(key).to_string();
                let item = |item: Item| match (item.write, item.remove) {
                    (Some(key), _) => Some((own(&key), Some(item.value), item.stamp)),
                    (None, Some(key)) => Some((own(&key), None, item.stamp)),
                    (None, None) => None,
                };
                let items = news.news.into_iter().filter_map(item).collect();
                if self.order.book.known() {
                    self.order.book.on_news(items, news.epoch);
                    self.follow_order();
                    self.order_changed();
                }
            }
            (Purpose::FollowOrder, _) => {
                self.order.following = false;
                if self.order.sync == Sync::Watching {
                    self.order.advance(again);
                }
            }
            _ => {}
        }
    }

    fn send_order(&mut self, txn: Txn) {
        let Some(leader) = &self.leader else { return };
        let mut when = vec![When { key: keys::LEADER.into(), stamp: leader.token }];
        when.extend(txn.when.into_iter().map(|(key, stamp)| When { key, stamp }));
        let change = |(key, value): (String, Option<serde_json::Value>)| match value {
            Some(value) => Change::Write { write: key, value, mooring: None },
            None => Change::Remove { remove: key },
        };
        let commit = Commit { when, apply: txn.apply.into_iter().map(change).collect() };
        let purpose = Purpose::WriteOrder { era: leader.era, nonce: txn.nonce };
        self.store.push(Call::Commit(commit), purpose, Urgency::Tidy, Patience::Always);
    }

    /// A transaction of the leader's has ended.
    pub(super) fn order_written(&mut self, nonce: u64, outcome: &Outcome) {
        use swiftsail_replicated_records::Outcome as End;
        let end = match outcome {
            Outcome::Committed(stamp) => End::Committed(*stamp),
            Outcome::Conflict(failed) if failed.iter().any(|k| k == keys::LEADER) => {
                return self.step_down("the store knows of another term");
            }
            Outcome::Conflict(_) => End::Conflict,
            other => {
                tracing::error!(outcome = ?other, "a transaction of records was not taken");
                End::Conflict
            }
        };
        if self.order.book.on_outcome(nonce, end) {
            self.order.advance(Sync::Due(self.now.steady));
        }
        let book = &self.order.book;
        let done: Vec<Waits> = self.order.waits.extract_if(.., |w| book.settled(&w.key)).collect();
        for w in done {
            let body = json!({ "record": w.key, "status": "committed" });
            self.answer(w.request, Reply::json(200, &body));
        }
        self.order_changed();
    }

    /// What is known of the records may have changed: whoever reads them looks again.
    pub(super) fn order_changed(&mut self) {
        if !self.order.on() || self.order.seen == self.order.book.version() {
            return;
        }
        self.order.seen = self.order.book.version();
        self.read_tiers();
        self.read_plan();
    }

    /// The highest table counts: of the state service, or of this controller's own file. Only a leader whose file
    /// has a higher one writes it down.
    fn read_tiers(&mut self) {
        let found = self.order.book.committed(TIERS);
        let held = found.and_then(|value| match TableRecord::read(TIERS, value) {
            Ok(record) => Some(record),
            Err(e) => {
                tracing::error!(cause = %e, "the tiers in force stay");
                None
            }
        });
        let unread = found.is_some() && held.is_none();
        if let Some(held) = held
            && held != *self.order.tiers.record()
        {
            match Table::compile(held) {
                Ok(table) => self.put_tiers_in_force(Rc::new(table)),
                Err(e) => tracing::error!(cause = %e, "the tiers in force stay"),
            }
        }
        let Some(own) = self.order.own.clone().filter(|_| self.order.book.known() && !unread)
        else {
            return;
        };
        let there = self.order.book.get(TIERS).and_then(|v| TableRecord::read(TIERS, v).ok());
        let there = there.map_or(0, |t| t.version);
        if own.version() > there && self.leader.is_some() {
            tracing::info!(
                version = own.version(),
                held = there,
                "this controller's tiers are the higher ones"
            );
            self.order.book.put(TIERS, own.record().record());
        }
    }

    fn put_tiers_in_force(&mut self, table: Rc<Table>) {
        let names: Vec<&str> = table.record().tiers.iter().map(|t| t.name.as_str()).collect();
        tracing::info!(version = table.version(), tiers = names.join(", "), "tiers in force");
        if let Some(own) = self.order.own.as_ref().filter(|own| own.version() < table.version()) {
            tracing::info!(
                file = own.version(),
                "this controller's file has an older table: it does not count"
            );
        }
        self.order.tiers = table.clone();
        for tables in self.leader.iter_mut().chain(&mut self.loading) {
            tables.set_tiers(table.clone());
        }
    }

    /// The tier that a job is accepted into, where tiers are held in the state service.
    pub(super) fn accepts_as(&self, id: &JobId, spec: &Spec) -> Option<String> {
        let on = self.order.on();
        on.then(|| self.order.tiers.accepts_as(&facts_of(id, spec)).to_string())
    }

    /// An operator offers another table of tiers.
    pub(super) fn set_tiers(&mut self, request: RequestId, body: &[u8]) {
        if !self.order.on() {
            let why =
                "tiers are not held in the state service; give the operators' file a [tiers] table";
            return self.answer(request, problem(409, why));
        }
        if self.leader.is_none() {
            return self.answer(request, self.ask_the_leader());
        }
        let offered = serde_json::from_slice::<TableRecord>(body)
            .map_err(|e| format!("the table cannot be read: {e}; send JSON with version and tier"));
        let table = offered.and_then(|t| Table::new(t).map_err(|e| e.to_string()));
        let table = match table {
            Ok(table) => table,
            Err(why) => return self.answer(request, problem(422, why)),
        };
        let there = self.order.tiers.version();
        if table.version() <= there {
            let why = format!("table {there} is in force; give yours a higher version");
            return self.answer(request, problem(409, why));
        }
        self.write_record(request, TIERS, table.record().record());
    }

    /// Writes a record for an operator, who is answered once it is committed.
    pub(super) fn write_record(&mut self, request: RequestId, key: &str, value: serde_json::Value) {
        if !self.order.book.put(key, value) {
            let why =
                "the record is too large for the state service, or there are too many; shorten it";
            return self.answer(request, problem(422, why));
        }
        let until = self.now.steady + ORDER_WRITE_MS;
        self.order.waits.push(Waits { request, key: key.into(), until });
    }

    /// Another controller leads: an operator should ask there.
    pub(super) fn ask_the_leader(&self) -> Reply {
        let why = "this controller does not lead; ask the leader";
        Reply::json(421, &json!({ "error": why, "leader": self.term.leader }))
    }

    /// Keys of the records as this controller knows them, without their prefix.
    pub fn records(&self) -> Vec<String> {
        self.order.book.under("").keys().map(|key| key.to_string()).collect()
    }

    /// The table in force, and what waits in each tier and why.
    pub(super) fn show_tiers(&self) -> serde_json::Value {
        let table = &self.order.tiers;
        let teams = &self.settings.settings.teams;
        let waiting = self.leader.as_ref().map(|leader| leader.tiers_waiting(teams));
        let waiting = waiting.unwrap_or_default();
        let rows = (0..=table.record().tiers.len()).map(|n| {
            let line = table.record().tiers.get(n);
            let (jobs, tasks, first, limited) =
                waiting.get(&(n as u8)).cloned().unwrap_or_default();
            json!({
                "tier": table.name(n),
                "when": line.map_or("everything else", |t| t.when.as_str()),
                "ordered": line.is_some_and(|t| t.ordered),
                "jobs": jobs,
                "tasks_waiting": tasks,
                "first": first,
                "held_by_limit": limited,
            })
        });
        json!({
            "version": table.version(),
            "durable": self.order.on(),
            "file": self.order.own.as_ref().map(|t| t.version()),
            "leads": self.leads(),
            "tiers": rows.collect::<Vec<_>>(),
        })
    }

    /// Why a job is of its tier, and where in the line it stands.
    pub(super) fn explain_tier(&self, id: &str) -> Reply {
        let Some(leader) = &self.leader else { return self.ask_the_leader() };
        let Some(job) = leader.jobs.get(id) else {
            return problem(404, format!("job `{id}` is not alive; poll it"));
        };
        let table = &self.order.tiers;
        let judged = table.judge(&facts_of(&job.id, &job.spec));
        let line = leader.line(&self.settings.settings.teams);
        let waits = |id: &str| leader.jobs.get(id).is_some_and(Job::queued);
        let ahead = line.iter().take_while(|p| p.id() != id).filter(|p| waits(p.id())).count();
        let place = line.iter().find(|p| p.id() == id);
        Reply::json(
            200,
            &json!({
                "job": id,
                "tier": table.name(job.tier.tier as usize),
                "ordered": job.tier.ordered,
                "accepted_as": job.accepted_as,
                "by_expressions": table.name(judged),
                "priority": job.spec.priority,
                "accepted_ms": job.accepted_wall,
                "beyond_guarantee": place.is_some_and(|p| p.beyond()),
                "waiting_ahead": ahead,
                "tasks_waiting": job.waiting.len(),
            }),
        )
    }
}

/// Of a tier: jobs that wait, their tasks, the first of them, and tasks that their team's limit holds back.
pub(super) type Queue = (usize, usize, Option<String>, usize);

impl Tables {
    /// What waits in each tier.
    fn tiers_waiting(
        &self,
        teams: &[crate::settings::Team],
    ) -> std::collections::BTreeMap<u8, Queue> {
        let usage = self.usage(teams);
        let mut found: std::collections::BTreeMap<u8, Queue> = Default::default();
        for place in self.line(teams) {
            let Some(job) = self.jobs.get(place.id()).filter(|j| j.queued()) else {
                continue;
            };
            let team = teams.iter().position(|t| t.name == job.spec.team);
            let limited = team.is_some_and(|n| {
                let each = crate::tables::amounts_of(&job.spec);
                !self.cap(n, &teams[n]).allows(usage[n], each)
            });
            let queue = found.entry(job.tier.tier).or_default();
            queue.0 += 1;
            queue.1 += job.waiting.len();
            queue.2.get_or_insert(place.id().to_string());
            queue.3 += if limited { job.waiting.len() } else { 0 };
        }
        found
    }
}
