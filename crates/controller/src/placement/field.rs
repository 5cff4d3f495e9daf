//! What a round works on: the tables and the view that it reads, and what it has planned so far. Whoever plays a
//! part of a round knows this and not the others.

use super::chooser::Chooser;
use super::ends::Ends;
use super::market::Open;
use super::place::{Names, Place};
use super::plan::{Plan, Step, View};
use super::teams::TeamRoom;
use super::victims::Candidate;
use crate::constants::*;
use crate::job::*;
use crate::machine::MachineType;
use crate::tables::{Tables, amounts_of};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

pub(super) struct Round<'a> {
    pub tables: &'a Tables,
    pub view: View<'a>,
    pub types: &'a [MachineType],
    /// The teams of the settings.
    pub teams: Vec<TeamRoom>,
    pub zones: Vec<String>,
    pub images: Names,
    pub service_images: Vec<(u32, Arc<Spec>)>,
    pub ends: Ends,
    pub places: Vec<Place>,
    pub wishes: BTreeMap<(usize, usize, bool), u32>,
    pub market: Open,
    pub candidates: Option<Vec<Candidate>>,
    pub demand: HashMap<String, u32>,
    pub full: bool,
    /// Gangs for which room was gathered in this round.
    pub gathered: usize,
    /// Jobs that found no place for what their team's limit leaves them.
    pub idle: Vec<JobId>,
    /// What is looked at may not begin yet: it binds nothing, and only says what to rent.
    pub foresees: bool,
    /// Tasks bound in this pass.
    pub binds: usize,
    /// Tasks that have joined lines in it.
    pub joins: usize,
    pub out: Plan,
}

impl<'a> Round<'a> {
    /// A round that has not begun.
    pub fn new(tables: &'a Tables, view: View<'a>, full: bool) -> Round<'a> {
        Round {
            tables,
            view,
            types: view.types,
            teams: TeamRoom::all(tables, &view.settings.settings.teams),
            zones: Vec::new(),
            images: Names::default(),
            service_images: Vec::new(),
            ends: Ends::default(),
            places: Vec::new(),
            wishes: BTreeMap::new(),
            market: Open::default(),
            candidates: None,
            demand: HashMap::new(),
            full,
            gathered: 0,
            idle: Vec::new(),
            foresees: false,
            binds: 0,
            joins: 0,
            out: Plan { lines: tables.lines.clone(), ..Plan::default() },
        }
    }

    /// Whether a chooser's team stays within its guarantee with one more task of it.
    pub fn guaranteed(&self, c: &Chooser) -> bool {
        c.team.is_some_and(|t| self.teams[t].guaranteed(amounts_of(&c.spec)))
    }

    /// Whether its team's limit leaves room for so many tasks of a chooser.
    pub fn within_limit(&self, c: &Chooser, tasks: u32) -> bool {
        c.team.is_some_and(|n| self.teams[n].allows(amounts_of(&c.spec).times(tasks)))
    }

    /// Counts what a plan would use.
    pub fn plan_use(&mut self, c: &Chooser) {
        if let Some(team) = c.team {
            self.teams[team].take(amounts_of(&c.spec));
        }
    }

    /// Plans to bind a task. False if the ledger has no room for it.
    pub fn bind(&mut self, c: &Chooser, machine: MachineId) -> bool {
        if self.foresees {
            self.plan_use(c);
            return true;
        }
        let most = if c.spec.priority == Priority::Low { LEDGER_LOW } else { LEDGER_MOST };
        if self.tables.ledger.len() + self.binds >= most {
            return false;
        }
        self.out.steps.push(Step::Bind(c.id.clone(), machine));
        self.plan_use(c);
        self.binds += 1;
        true
    }

    /// Tasks of a job that wait and stand in no line.
    pub fn free_tasks(&self, job: &Job) -> u32 {
        (job.waiting.len() as u32).saturating_sub(self.out.lines.of(&job.id))
    }
}

/// Whether a job has tasks that may be placed.
pub(super) fn open(job: &Job) -> bool {
    job.state() == JobState::Live && job.muster() == Muster::Whole
}
