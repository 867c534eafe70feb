//! Tasks that wait for a slot, shared fairly between teams.

use super::{
    id::{JobNumber, JobType, TaskRef, TeamName},
    job::Need,
    time::Moment,
};
use indexmap::IndexMap;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Seconds that each second of a job's work puts it behind jobs that arrive later.
const LENGTH_PENALTY: f64 = 0.05;

/// Part of its deadline that a job is put behind at most, so that long jobs still end in time.
const MAX_PENALTY: f64 = 0.3;

/// Where a group of tasks stands within its team: by arrival, long jobs later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    key: Moment,
    number: JobNumber,
    need: Need,
}

/// Most waiting tasks of a small job.
const SMALL_TASKS: usize = 10;

/// The size of a job, by the tasks of it that still wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// A few tasks.
    Small,
    /// Many tasks.
    Large,
}

impl Size {
    fn of(waiting: usize) -> Self {
        if waiting > SMALL_TASKS { Size::Large } else { Size::Small }
    }
}

/// One waiting task.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// Which.
    pub task: TaskRef,
    /// Expected seconds on a worker of slowness 1.
    pub seconds: f64,
    /// What its caller expected, in milliseconds.
    pub declared_ms: Option<u64>,
    /// The time that its caller gave the whole job.
    pub allowed: Duration,
    /// What it needs.
    pub need: Need,
}

#[derive(Debug)]
struct Group {
    job_type: JobType,
    tasks: VecDeque<Waiting>,
}

#[derive(Debug)]
struct TeamQueue {
    weight: f64,
    virtual_time: f64,
    work: f64,
    groups: BTreeMap<Rank, Group>,
}

/// The waiting tasks of one entry VM.
#[derive(Debug, Default)]
pub struct Queue {
    teams: IndexMap<TeamName, TeamQueue>,
    ranks: IndexMap<JobNumber, (TeamName, Vec<Rank>)>,
    tasks: usize,
    work: f64,
    virtual_floor: f64,
    first_come: bool,
}

impl Queue {
    /// Serves teams by arrival instead of by weight.
    pub fn first_come(mut self, yes: bool) -> Self {
        self.first_come = yes;
        self
    }

    /// Number of tasks waiting.
    pub fn len(&self) -> usize {
        self.tasks
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.tasks == 0
    }

    /// Expected seconds of all that waits, on workers of slowness 1.
    pub fn work(&self) -> f64 {
        self.work.max(0.0)
    }

    /// Expected seconds of work that is served before a new job of `team`, if all teams that wait
    /// get their shares.
    pub fn work_ahead(&self, team: &TeamName, weight: f64) -> f64 {
        if self.first_come {
            return self.work();
        }
        let own = self.teams.get(team).map_or(0.0, |queue| queue.work);
        let waiting = |queue: &TeamQueue| !queue.groups.is_empty();
        let others: f64 = self
            .teams
            .iter()
            .filter(|(name, queue)| *name != team && waiting(queue))
            .map(|(_, queue)| queue.weight)
            .sum();
        (own * (others + weight) / weight).min(self.work())
    }

    /// Adds the tasks of a job.
    pub fn push(
        &mut self,
        team: &TeamName,
        weight: f64,
        job_type: &JobType,
        arrived: Moment,
        tasks: &[Waiting],
    ) {
        let Some(first) = tasks.first() else { return };
        let number = first.task.number;
        let work: f64 = tasks.iter().map(|task| task.seconds).sum();
        let key = match self.first_come {
            true => arrived,
            false => {
                let most = first.allowed.as_secs_f64() * MAX_PENALTY;
                arrived + Duration::from_secs_f64((work * LENGTH_PENALTY).clamp(0.0, most))
            }
        };
        let queue = self.team(team, weight);
        let mut ranks = Vec::new();
        for task in tasks {
            let rank = Rank { key, number, need: task.need };
            let group = queue.groups.entry(rank).or_insert_with(|| {
                ranks.push(rank);
                Group { job_type: job_type.clone(), tasks: VecDeque::new() }
            });
            group.tasks.push_back(*task);
        }
        queue.work += work;
        self.tasks += tasks.len();
        self.work += work;
        let known = self.ranks.entry(number).or_insert_with(|| (team.clone(), Vec::new()));
        ranks.retain(|rank| !known.1.contains(rank));
        known.1.extend(ranks);
    }

    fn team(&mut self, team: &TeamName, weight: f64) -> &mut TeamQueue {
        let floor = self.virtual_floor;
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            weight,
            virtual_time: floor,
            work: 0.0,
            groups: BTreeMap::new(),
        });
        queue.weight = weight;
        if queue.groups.is_empty() {
            queue.virtual_time = queue.virtual_time.max(floor);
        }
        queue
    }

    /// Takes the next task for which `place` finds a worker.
    pub fn pop<T, F>(&mut self, mut place: F) -> Option<(Waiting, TeamName, T)>
    where
        F: FnMut(Need, Size, &JobType) -> Option<T>,
    {
        let mut hopeless: Vec<(Need, Size)> = Vec::new();
        for at in self.order() {
            let (team, queue) = self.teams.get_index(at)?;
            let mut found = None;
            for (rank, group) in &queue.groups {
                let size = Size::of(group.tasks.len());
                if hopeless.contains(&(rank.need, size)) {
                    continue;
                }
                match place(rank.need, size, &group.job_type) {
                    Some(placed) => {
                        found = Some((*rank, placed));
                        break;
                    }
                    None => hopeless.push((rank.need, size)),
                }
            }
            if let Some((rank, placed)) = found {
                let team = team.clone();
                let waiting = self.take(at, rank)?;
                return Some((waiting, team, placed));
            }
        }
        None
    }

    fn order(&self) -> Vec<usize> {
        let mut order: Vec<usize> =
            (0..self.teams.len()).filter(|at| !self.teams[*at].groups.is_empty()).collect();
        if self.first_come {
            order.sort_by_key(|at| self.teams[*at].groups.keys().next().copied());
        } else {
            let time = |at: &usize| self.teams[*at].virtual_time;
            order.sort_by(|a, b| time(a).total_cmp(&time(b)));
        }
        order
    }

    fn take(&mut self, at: usize, rank: Rank) -> Option<Waiting> {
        let (_, queue) = self.teams.get_index_mut(at)?;
        let group = queue.groups.get_mut(&rank)?;
        let waiting = group.tasks.pop_front()?;
        let seconds = waiting.seconds;
        if group.tasks.is_empty() {
            queue.groups.remove(&rank);
            let empty = match self.ranks.get_mut(&rank.number) {
                Some((_, ranks)) => {
                    ranks.retain(|known| *known != rank);
                    ranks.is_empty()
                }
                None => false,
            };
            if empty {
                self.ranks.swap_remove(&rank.number);
            }
        }
        queue.work -= seconds;
        self.virtual_floor = self.virtual_floor.max(queue.virtual_time);
        queue.virtual_time += seconds / queue.weight.max(f64::MIN_POSITIVE);
        self.tasks -= 1;
        self.work -= seconds;
        Some(waiting)
    }

    /// Removes all waiting tasks of a job; returns how many there were.
    pub fn remove(&mut self, number: JobNumber) -> usize {
        let Some((team, ranks)) = self.ranks.swap_remove(&number) else {
            return 0;
        };
        let Some(queue) = self.teams.get_mut(&team) else {
            return 0;
        };
        let mut removed = 0;
        for rank in ranks {
            let Some(group) = queue.groups.remove(&rank) else {
                continue;
            };
            let work: f64 = group.tasks.iter().map(|waiting| waiting.seconds).sum();
            removed += group.tasks.len();
            queue.work -= work;
            self.work -= work;
        }
        self.tasks -= removed;
        removed
    }
}
