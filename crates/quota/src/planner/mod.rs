//! Who gets how much, when: a decider's own view of one page. Nothing here is needed to be within a limit
//! ([`crate::account`] is), so it goes by what others last told, however old or wrong.
//!
//! - What a team's work wants is taken from the pool first.
//! - Where the pool has none, the decider that seems to have most to spare is asked; it gives at once what it
//!   does not use, or answers when to come back.
//! - For production of the team elsewhere, less urgent tasks of the team are stopped; for work as urgent, what
//!   its own tasks leave as they end is given until both have as much of what they want.
//! - What is not used for a while goes back before it is asked for.

mod revocation;

pub use revocation::RevocationPhase;

use crate::Time;
use crate::account::{AccountPhase, QuotaAccount};
use crate::constants::{
    LIMIT_STOP_INTERVAL_MS, MIN_TRANSFER_DIVISOR, PEER_USAGE_TTL_MS, REBALANCE_DIVISOR,
    RECEIVED_QUOTA_HOLD_MS, TRANSFER_REQUEST_INTERVAL_MS, TRANSFER_REQUEST_TTL_MS,
    UNUSED_RETURN_DELAY_MS, USAGE_BROADCAST_INTERVAL_MS,
};
use crate::quantities::{Quantity, ResourceQuantities};
use crate::records::{PartitionId, QuotaTransaction, TeamName};
use revocation::QuotaRevocation;
use std::collections::BTreeMap;

/// How urgent work is: production first, then what can be in time, then the rest.
pub const URGENCY_LEVELS: usize = 3;

/// What a team's work on a decider's machines uses and wants, by urgency.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamDemand {
    /// Used, everything not proved gone counted.
    pub used: [ResourceQuantities; URGENCY_LEVELS],
    /// Wanted beyond that.
    pub wanted: [ResourceQuantities; URGENCY_LEVELS],
}

impl TeamDemand {
    /// All that is used.
    pub fn total_used(&self) -> ResourceQuantities {
        self.used.iter().copied().sum()
    }

    /// Used or wanted, up to a level.
    fn used_or_wanted_up_to(&self, level: usize) -> ResourceQuantities {
        self.used[..=level].iter().chain(&self.wanted[..=level]).copied().sum()
    }

    fn most_urgent_level(&self) -> Option<usize> {
        self.wanted.iter().position(|w| *w != ResourceQuantities::default())
    }
}

/// What a decider tells of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedTeamUsage {
    /// What it has.
    pub held: ResourceQuantities,
    /// What its work uses and wants.
    pub demand: TeamDemand,
}

/// Between deciders. Lost or late messages do no harm.
#[derive(Debug, Clone, PartialEq)]
pub enum QuotaMessage {
    /// What the sender has and needs, of teams of which it has or wants something.
    Usage(BTreeMap<TeamName, ReportedTeamUsage>),
    /// More of a team is wanted, for work of a level.
    TransferRequest {
        /// Team.
        team: TeamName,
        /// Urgency.
        level: usize,
        /// How much.
        amount: ResourceQuantities,
        /// What the asker has and needs.
        usage: ReportedTeamUsage,
    },
    /// Work within a guarantee finds no room: what a team has borrowed beyond its own is to be stopped.
    RevocationRequest {
        /// The team that borrowed.
        team: TeamName,
        /// How much.
        amount: ResourceQuantities,
    },
    /// As much of it as was asked for is proved gone.
    Revoked {
        /// The team that borrowed.
        team: TeamName,
    },
    /// Nothing can be given: not to be asked again before so many ms.
    Refusal {
        /// Team.
        team: TeamName,
        /// When to come back, ms.
        retry_after_ms: u64,
    },
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum QuotaAction {
    /// Send a transaction to the state service.
    SendTransaction(QuotaTransaction),
    /// Read the page.
    ReadPage,
    /// Send a message to the holder of a decider.
    SendMessage(PartitionId, QuotaMessage),
    /// Stop work of a team that is less urgent than a level, for as much, least loss first.
    StopWork {
        /// Team.
        team: TeamName,
        /// Less urgent than this.
        level: usize,
        /// How much.
        amount: ResourceQuantities,
    },
}

/// Where giving to a decider that asked stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferPhase {
    /// Asked; not answered yet.
    Requested,
    /// Less is used here than before, until enough is proved gone.
    Freeing,
    /// The amount is on its way.
    Transferring,
}

#[derive(Debug, Clone)]
struct OutgoingTransfer {
    phase: TransferPhase,
    level: usize,
    amount: ResourceQuantities,
    requester_usage: ReportedTeamUsage,
    requested_at: Time,
}

impl OutgoingTransfer {
    /// The one function that changes the stage.
    fn advance_phase(&mut self, to: TransferPhase) {
        self.phase = to;
    }
}

/// The part of an amount below which it is not evened out.
fn rebalance_threshold(has: Quantity) -> Quantity {
    Quantity::from_units(has.units() / REBALANCE_DIVISOR)
}

/// The planner of a decider.
#[derive(Debug)]
pub struct QuotaPlanner {
    /// Its account.
    pub account: QuotaAccount,
    partition: PartitionId,
    configured_limits: BTreeMap<TeamName, ResourceQuantities>,
    demands: BTreeMap<TeamName, TeamDemand>,
    peer_usage: BTreeMap<PartitionId, (Time, BTreeMap<TeamName, ReportedTeamUsage>)>,
    /// Those that asked, by team.
    outgoing_transfers: BTreeMap<(TeamName, PartitionId), OutgoingTransfer>,
    /// What this one was asked to stop of what a team has borrowed.
    local_revocations: BTreeMap<TeamName, QuotaRevocation>,
    /// What this one has asked others to stop, and until when it waits for that.
    requested_revocations: BTreeMap<TeamName, Time>,
    /// When another may be asked again.
    next_request_at: BTreeMap<(TeamName, PartitionId), Time>,
    /// When this one last got something of a team: it does not give it away at once.
    last_received_at: BTreeMap<TeamName, Time>,
    /// Since when something of a team is unused.
    unused_since: BTreeMap<TeamName, Time>,
    /// When work was last stopped for a lowered limit.
    stopped_for_limit_at: BTreeMap<TeamName, Time>,
    usage_sent_at: Time,
    /// Transactions are paced: the state service's changes a second are few.
    transaction_interval_ms: u64,
    last_transaction_at: Time,
}

impl QuotaPlanner {
    /// The planner of a holder. `pace_ms`: least time between two of its transactions.
    pub fn new(decider: &str, token: u64, transaction_interval_ms: u64) -> QuotaPlanner {
        QuotaPlanner {
            account: QuotaAccount::new(decider, token),
            partition: decider.to_string(),
            configured_limits: BTreeMap::new(),
            demands: BTreeMap::new(),
            peer_usage: BTreeMap::new(),
            outgoing_transfers: BTreeMap::new(),
            local_revocations: BTreeMap::new(),
            requested_revocations: BTreeMap::new(),
            next_request_at: BTreeMap::new(),
            last_received_at: BTreeMap::new(),
            unused_since: BTreeMap::new(),
            stopped_for_limit_at: BTreeMap::new(),
            usage_sent_at: 0,
            transaction_interval_ms,
            last_transaction_at: 0,
        }
    }

    /// What the settings say.
    pub fn set_limits(&mut self, settings: BTreeMap<TeamName, ResourceQuantities>) {
        self.configured_limits = settings;
    }

    /// What a team's work uses and wants now.
    pub fn set_demand(&mut self, team: &str, need: TeamDemand) {
        if need == TeamDemand::default() {
            self.demands.remove(team);
        } else {
            self.demands.insert(team.to_string(), need);
        }
    }

    fn demand_of(&self, team: &str) -> TeamDemand {
        self.demands.get(team).copied().unwrap_or_default()
    }

    /// What more of a team may be bound, as work of a level: within what may be used, and, while it yields to
    /// another, within what is left to it.
    pub fn bindable_amount(&self, team: &str, level: usize) -> ResourceQuantities {
        let usable = self.account.usable_amount(team);
        let ceiling = self.usage_ceiling(team, level).unwrap_or(usable);
        let most = usable.zip_with(ceiling, Quantity::min);
        most.zip_with(self.demand_of(team).total_used(), |a, b| (a - b).max(Quantity::ZERO))
    }

    /// What is left to work of a level here while others are given to, or a limit is lowered.
    fn usage_ceiling(&self, team: &str, level: usize) -> Option<ResourceQuantities> {
        let yields =
            self.outgoing_transfers.iter().filter(|((t, _), g)| t == team && g.level <= level);
        let targets = yields.map(|(_, g)| self.balanced_holding(team, g));
        let owes = self.account.owed_amount(team);
        let owed =
            (owes != ResourceQuantities::default()).then(|| self.account.held_amount(team) - owes);
        let recalled =
            self.local_revocations.get(team).filter(|_| level > 0).map(|r| r.usage_limit);
        targets.chain(owed).chain(recalled).reduce(|a, b| a.zip_with(b, Quantity::min))
    }

    /// What this decider is to have once it has given to one that asked: for work more urgent than its own
    /// wants all but that, for work as urgent as much of what both want as the other.
    fn balanced_holding(&self, team: &str, giving: &OutgoingTransfer) -> ResourceQuantities {
        let (mine, has) = (self.demand_of(team), self.account.held_amount(team));
        let own = mine.used_or_wanted_up_to(giving.level);
        let theirs = giving.requester_usage.demand.used_or_wanted_up_to(giving.level);
        let both = has + giving.requester_usage.held;
        let part = |both: Quantity, own: Quantity, theirs: Quantity| {
            let wanted = (own + theirs).to_f64();
            if wanted <= both.to_f64() {
                own
            } else {
                Quantity::from_limit(both.to_f64() * own.to_f64() / wanted)
            }
        };
        let fair = ResourceQuantities {
            cpus: part(both.cpus, own.cpus, theirs.cpus),
            gpus: part(both.gpus, own.gpus, theirs.gpus),
        };
        // Never more is given than was asked for.
        fair.zip_with(has - giving.amount, Quantity::max).zip_with(has, Quantity::min)
    }

    /// A message from the holder of another decider.
    pub fn on_message(&mut self, from: &str, message: QuotaMessage, now: Time) -> Vec<QuotaAction> {
        match message {
            QuotaMessage::Usage(told) => {
                self.peer_usage.insert(from.to_string(), (now, told));
                Vec::new()
            }
            QuotaMessage::Refusal { team, retry_after_ms: again_ms } => {
                self.next_request_at.insert((team, from.to_string()), now + again_ms);
                Vec::new()
            }
            QuotaMessage::TransferRequest { team, level, amount: more, usage: told } => {
                self.on_transfer_request(from, team, level, more, told, now)
            }
            QuotaMessage::RevocationRequest { team, amount } => {
                self.start_local_revocation(from, team, amount, now)
            }
            QuotaMessage::Revoked { team } => {
                self.requested_revocations.remove(&team);
                Vec::new()
            }
        }
    }

    /// Another wants more of a team: it is answered at once if nothing can be given.
    fn on_transfer_request(
        &mut self,
        from: &str,
        team: TeamName,
        level: usize,
        more: ResourceQuantities,
        told: ReportedTeamUsage,
        now: Time,
    ) -> Vec<QuotaAction> {
        let giving = OutgoingTransfer {
            phase: TransferPhase::Requested,
            level: level.min(URGENCY_LEVELS - 1),
            amount: more,
            requester_usage: told,
            requested_at: now,
        };
        let has = self.account.held_amount(&team);
        let gift = has - self.balanced_holding(&team, &giving);
        let piece = self.min_transfer(&team);
        // Two that want more than there is are not evened out for a little.
        let contested = has.zip_with(gift, |has, gift| has - gift);
        let contested = !contested.covers(self.demand_of(&team).used_or_wanted_up_to(giving.level));
        let least = match level > 0 && contested {
            true => piece.zip_with(has, |piece, has| piece.max(rebalance_threshold(has))),
            false => piece,
        };
        let worth =
            gift.cpus >= least.cpus || gift.gpus > Quantity::ZERO && gift.gpus >= least.gpus;
        let fresh =
            self.last_received_at.get(&team).is_some_and(|at| now < at + RECEIVED_QUOTA_HOLD_MS)
                && level > 0;
        if !worth || fresh {
            self.outgoing_transfers.remove(&(team.clone(), from.to_string()));
            let refuse =
                QuotaMessage::Refusal { team, retry_after_ms: TRANSFER_REQUEST_INTERVAL_MS * 2 };
            return vec![QuotaAction::SendMessage(from.to_string(), refuse)];
        }
        let mut actions = Vec::new();
        let need = self.demand_of(&team);
        // For production less urgent work is stopped; else what ends by itself is given.
        let unused = has.zip_with(need.total_used(), |has, used| (has - used).max(Quantity::ZERO));
        let lacks = gift.zip_with(unused, |gift, unused| (gift - unused).max(Quantity::ZERO));
        let known = self.outgoing_transfers.get(&(team.clone(), from.to_string()));
        let begun = known.is_some_and(|g| g.phase != TransferPhase::Requested);
        if level == 0 && !begun && lacks != ResourceQuantities::default() {
            actions.push(QuotaAction::StopWork { team: team.clone(), level, amount: lacks });
        }
        let stage = known.map_or(TransferPhase::Requested, |g| g.phase);
        let mut giving = giving;
        giving.advance_phase(if level == 0 { TransferPhase::Freeing } else { stage });
        self.outgoing_transfers.insert((team, from.to_string()), giving);
        actions
    }

    /// The least that is worth a transaction: a small part of the limit.
    fn min_transfer(&self, team: &str) -> ResourceQuantities {
        let kept = self.account.page().pool.0.teams.get(team);
        kept.map_or(ResourceQuantities::default(), |k| {
            k.limit.map(|a| Quantity::from_units(a.units() / MIN_TRANSFER_DIVISOR))
        })
    }

    /// With every timer step: what to do. At most one transaction is on its way.
    pub fn tick(&mut self, now: Time) -> Vec<QuotaAction> {
        let mut actions = Vec::new();
        match self.account.phase() {
            AccountPhase::Closed => return actions,
            AccountPhase::Reading | AccountPhase::InDoubt => return vec![QuotaAction::ReadPage],
            AccountPhase::InFlight | AccountPhase::Open => {}
        }
        self.outgoing_transfers.retain(|_, g| now < g.requested_at + TRANSFER_REQUEST_TTL_MS);
        self.peer_usage.retain(|_, (at, _)| now < *at + PEER_USAGE_TTL_MS);
        if self.account.phase() == AccountPhase::Open
            && now >= self.last_transaction_at + self.transaction_interval_ms
        {
            let txn = self.next_transaction(now);
            if let Some(txn) = txn {
                self.last_transaction_at = now;
                actions.push(QuotaAction::SendTransaction(txn));
            }
        }
        self.stop_work_over_limit(now, &mut actions);
        self.advance_revocations(now, &mut actions);
        self.request_transfers(now, &mut actions);
        if now >= self.usage_sent_at + USAGE_BROADCAST_INTERVAL_MS {
            self.usage_sent_at = now;
            let told = self.usage_summary();
            for decider in self.other_partitions() {
                actions.push(QuotaAction::SendMessage(decider, QuotaMessage::Usage(told.clone())));
            }
        }
        actions
    }

    fn other_partitions(&self) -> Vec<PartitionId> {
        let all = self.account.page().holdings.keys();
        all.filter(|d| **d != self.partition).cloned().collect()
    }

    fn usage_of(&self, team: &str) -> ReportedTeamUsage {
        ReportedTeamUsage { held: self.account.held_amount(team), demand: self.demand_of(team) }
    }

    fn usage_summary(&self) -> BTreeMap<TeamName, ReportedTeamUsage> {
        let teams = self.account.page().pool.0.teams.keys();
        let all = teams.map(|t| (t.clone(), self.usage_of(t)));
        all.filter(|(_, t)| {
            t.held != ResourceQuantities::default() || t.demand != TeamDemand::default()
        })
        .collect()
    }

    /// What each team lacks here, with its most urgent level.
    fn missing_by_team(&self) -> BTreeMap<TeamName, (usize, ResourceQuantities)> {
        let lack = |(team, need): (&TeamName, &TeamDemand)| {
            let level = need.most_urgent_level()?;
            let wants: ResourceQuantities = need.wanted.iter().copied().sum();
            let lacks = need.total_used() + wants - self.account.held_amount(team);
            let lacks = lacks.map(|a| a.max(Quantity::ZERO));
            (lacks != ResourceQuantities::default()).then(|| (team.clone(), (level, lacks)))
        };
        self.demands.iter().filter_map(lack).collect()
    }

    fn next_transaction(&mut self, now: Time) -> Option<QuotaTransaction> {
        if let Some(txn) = self.account.reconcile_limits(&self.configured_limits) {
            return Some(txn);
        }
        let used: BTreeMap<TeamName, ResourceQuantities> =
            self.demands.iter().map(|(t, n)| (t.clone(), n.total_used())).collect();
        // What another asked for comes before what this one wants itself: it was promised.
        if let Some(txn) = self.transfer_to_requester(&used) {
            return Some(txn);
        }
        let wants: BTreeMap<TeamName, ResourceQuantities> =
            self.missing_by_team().into_iter().map(|(t, (_, lacks))| (t, lacks)).collect();
        if let Some(txn) = self.account.take_from_pool(&wants) {
            return Some(txn);
        }
        self.return_unused_quota(&used, now)
    }

    fn transfer_to_requester(
        &mut self,
        used: &BTreeMap<TeamName, ResourceQuantities>,
    ) -> Option<QuotaTransaction> {
        let to = self.outgoing_transfers.iter().find_map(|((team, to), g)| {
            (self.transferable_amount(team, g, used) != ResourceQuantities::default())
                .then(|| to.clone())
        })?;
        let mut gifts = BTreeMap::new();
        for ((team, _), giving) in self.outgoing_transfers.iter().filter(|((_, d), _)| *d == to) {
            gifts.insert(team.clone(), self.transferable_amount(team, giving, used));
        }
        gifts.retain(|_, gift| *gift != ResourceQuantities::default());
        let txn = self.account.transfer_holding(Some(&to), &gifts, used)?;
        for team in gifts.keys() {
            if let Some(giving) = self.outgoing_transfers.get_mut(&(team.clone(), to.clone())) {
                giving.advance_phase(TransferPhase::Transferring);
                // What is on its way counts as theirs: the rest is what is still to be given.
                giving.amount =
                    giving.amount.zip_with(gifts[team], |m, g| (m - g).max(Quantity::ZERO));
                giving.requester_usage.held += gifts[team];
            }
        }
        self.outgoing_transfers.retain(|_, g| g.amount != ResourceQuantities::default());
        Some(txn)
    }

    fn transferable_amount(
        &self,
        team: &str,
        giving: &OutgoingTransfer,
        used: &BTreeMap<TeamName, ResourceQuantities>,
    ) -> ResourceQuantities {
        let has = self.account.held_amount(team);
        let over = (has - self.balanced_holding(team, giving)).map(|a| a.max(Quantity::ZERO));
        let used = used.get(team).copied().unwrap_or_default();
        let gift = over.zip_with(has - used, |over, unused| over.min(unused).max(Quantity::ZERO));
        let piece = self.min_transfer(team).zip_with(giving.amount, Quantity::min);
        let worth =
            |gift: Quantity, piece: Quantity| if gift < piece { Quantity::ZERO } else { gift };
        gift.zip_with(piece, worth)
    }

    /// What has been unused for a while goes back, but for a small part.
    fn return_unused_quota(
        &mut self,
        used: &BTreeMap<TeamName, ResourceQuantities>,
        now: Time,
    ) -> Option<QuotaTransaction> {
        let own = self.account.page().holdings.get(&self.partition)?.0.held.clone();
        let mut back = BTreeMap::new();
        self.unused_since.retain(|team, _| own.contains_key(team));
        for (team, has) in own {
            let need = self.demand_of(&team);
            let wants: ResourceQuantities = need.wanted.iter().copied().sum();
            let kept = self.account.page().pool.0.teams.get(&team);
            let owed = kept.is_some_and(|k| k.limit != k.target);
            let cushion = if owed || need == TeamDemand::default() {
                ResourceQuantities::default()
            } else {
                self.min_transfer(&team)
            };
            let spare = (has - need.total_used() - wants - cushion).map(|a| a.max(Quantity::ZERO));
            let piece = self.min_transfer(&team);
            let worth = spare.cpus >= piece.cpus && spare.cpus > Quantity::ZERO
                || spare.gpus >= piece.gpus && spare.gpus > Quantity::ZERO
                || need == TeamDemand::default() && has != ResourceQuantities::default();
            if !worth {
                self.unused_since.remove(&team);
            } else if owed
                || now
                    >= *self.unused_since.entry(team.clone()).or_insert(now)
                        + UNUSED_RETURN_DELAY_MS
            {
                back.insert(team, spare);
            }
        }
        let txn = self.account.transfer_holding(None, &back, used)?;
        self.unused_since.retain(|team, _| !back.contains_key(team));
        Some(txn)
    }

    /// A limit was lowered below what is used: work of the team is stopped for this decider's part, until it
    /// is proved gone.
    fn stop_work_over_limit(&mut self, now: Time, actions: &mut Vec<QuotaAction>) {
        self.stopped_for_limit_at.retain(|_, at| now < *at + LIMIT_STOP_INTERVAL_MS);
        for (team, need) in &self.demands {
            let left = self.account.held_amount(team) - self.account.owed_amount(team);
            let over = (need.total_used() - left).map(|a| a.max(Quantity::ZERO));
            let owes = self.account.owed_amount(team) != ResourceQuantities::default();
            if owes
                && over != ResourceQuantities::default()
                && !self.stopped_for_limit_at.contains_key(team)
            {
                self.stopped_for_limit_at.insert(team.clone(), now);
                actions.push(QuotaAction::StopWork { team: team.clone(), level: 0, amount: over });
            }
        }
    }

    /// Asks others for what the pool does not have: of each team the one that seems to have most to spare.
    fn request_transfers(&mut self, now: Time, actions: &mut Vec<QuotaAction>) {
        for (team, (level, lacks)) in self.missing_by_team() {
            let free = self.account.page().pool.0.teams.get(&team).map(|k| k.free);
            let piece = self.min_transfer(&team);
            let more = lacks - free.unwrap_or_default();
            let small = level > 0 && more.cpus < piece.cpus && more.gpus <= Quantity::ZERO;
            if free.is_none() || small || ResourceQuantities::default().covers(more) {
                continue;
            }
            let best = self.other_partitions().into_iter().filter_map(|d| {
                let due = self
                    .next_request_at
                    .get(&(team.clone(), d.clone()))
                    .is_none_or(|at| now >= *at);
                let told = self.peer_usage.get(&d).and_then(|(_, told)| told.get(&team));
                let spare = told.map(|t| (t.held - t.demand.used_or_wanted_up_to(level)).cpus);
                // One that told nothing has nothing of the team, or was not heard: the record tells.
                let held = self.account.page().holdings.get(&d)?.0.held.get(&team)?.cpus;
                let most_used = told.map_or(held, |t| t.held.cpus);
                due.then_some((spare.unwrap_or(Quantity::ZERO), most_used, d))
            });
            let Some((_, _, to)) = best.max() else { continue };
            self.next_request_at
                .insert((team.clone(), to.clone()), now + TRANSFER_REQUEST_INTERVAL_MS);
            let told = self.usage_of(&team);
            actions.push(QuotaAction::SendMessage(
                to,
                QuotaMessage::TransferRequest { team, level, amount: more, usage: told },
            ));
        }
        self.next_request_at.retain(|_, at| now < *at + TRANSFER_REQUEST_TTL_MS);
    }

    /// The page as it was read, or as a watch tells it.
    pub fn on_page(&mut self, page: &crate::records::QuotaPage, now: Time) {
        let teams: Vec<TeamName> = page.pool.0.teams.keys().cloned().collect();
        let before: Vec<ResourceQuantities> =
            teams.iter().map(|t| self.account.held_amount(t)).collect();
        self.account.on_page(page);
        for (team, before) in teams.into_iter().zip(before) {
            let has = self.account.held_amount(&team);
            if has != before && has.covers(before) {
                self.last_received_at.insert(team, now);
            }
        }
    }
}
