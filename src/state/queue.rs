//! Tasks that wait for a slot. Teams share the slots by weighted fair queueing.

use super::{
    id::{JobNumber, JobType, TaskRef, TeamName},
    job::Requirements,
    time::Moment,
};
use indexmap::IndexMap;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Seconds by which a job is moved back among its team's jobs, per second of its expected run time.
const DELAY_PER_SECOND: f64 = 0.05;

/// Share of its deadline by which a job is moved back at most, so that long jobs end in time.
const MAX_DELAY_SHARE: f64 = 0.3;

/// Position of a group of tasks among those of its team: by arrival, with long jobs moved back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Arrival of the job plus its delay for length.
    sort_time: Moment,
    number: JobNumber,
    requirements: Requirements,
}

/// Largest number of queued tasks with which a job counts as small.
const MAX_SMALL_JOB_TASKS: usize = 10;

/// Size of a job, by the number of its tasks with the same requirements that are still queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobSize {
    /// At most ten queued tasks.
    Small,
    /// More than ten queued tasks.
    Large,
}

impl JobSize {
    fn of(queued: usize) -> Self {
        if queued > MAX_SMALL_JOB_TASKS { JobSize::Large } else { JobSize::Small }
    }
}

/// A task that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct QueuedTask {
    /// Task that is to be started.
    pub task: TaskRef,
    /// Expected run time on a worker of slowness 1, in seconds.
    pub expected_seconds: f64,
    /// Run time that the caller expects, in milliseconds.
    pub declared_ms: Option<u64>,
    /// Time allowed from the arrival of the job to its answer.
    pub job_deadline: Duration,
    /// What a worker must have to run the task.
    pub requirements: Requirements,
}

/// Queued tasks of one job with the same requirements.
#[derive(Debug)]
struct TaskGroup {
    job_type: JobType,
    tasks: VecDeque<QueuedTask>,
}

/// Queued tasks of one team.
#[derive(Debug)]
struct TeamQueue {
    weight: f64,
    /// Work served for the team, in seconds divided by its weight. The team with the least is
    /// served first.
    virtual_time: f64,
    /// Expected seconds of the team's queued tasks, on workers of slowness 1.
    queued_seconds: f64,
    groups: BTreeMap<Rank, TaskGroup>,
}

/// The queued tasks of one entry VM, by team.
#[derive(Debug, Default)]
pub struct TaskQueue {
    teams: IndexMap<TeamName, TeamQueue>,
    /// Team and task groups of each job with queued tasks.
    ranks: IndexMap<JobNumber, (TeamName, Vec<Rank>)>,
    /// Number of queued tasks.
    tasks: usize,
    /// Expected seconds of all queued tasks, on workers of slowness 1.
    queued_seconds: f64,
    /// Virtual time of the team served last, raised monotonically. A team whose queue was empty
    /// starts from here, so that it gains nothing by having been idle.
    virtual_floor: f64,
    /// Whether jobs are served in the order of their arrival instead of by team weights.
    first_come_first_served: bool,
}

impl TaskQueue {
    /// Sets whether jobs are served in the order of their arrival instead of by team weights.
    pub fn first_come_first_served(mut self, yes: bool) -> Self {
        self.first_come_first_served = yes;
        self
    }

    /// Number of queued tasks.
    pub fn len(&self) -> usize {
        self.tasks
    }

    /// Returns true if no task is queued.
    pub fn is_empty(&self) -> bool {
        self.tasks == 0
    }

    /// Expected run time of all queued tasks on workers of slowness 1, in seconds.
    pub fn queued_seconds(&self) -> f64 {
        self.queued_seconds.max(0.0)
    }

    /// Expected run time of the queued tasks that are served before a new job of `team`, in
    /// seconds, if every team with queued tasks gets its share.
    pub fn seconds_ahead(&self, team: &TeamName, weight: f64) -> f64 {
        if self.first_come_first_served {
            return self.queued_seconds();
        }
        let own = self.teams.get(team).map_or(0.0, |queue| queue.queued_seconds);
        let has_tasks = |queue: &TeamQueue| !queue.groups.is_empty();
        let others: f64 = self
            .teams
            .iter()
            .filter(|(name, queue)| *name != team && has_tasks(queue))
            .map(|(_, queue)| queue.weight)
            .sum();
        (own * (others + weight) / weight).min(self.queued_seconds())
    }

    /// Adds tasks of one job, which arrived at `arrived`, to the queue of its team. A retried task
    /// is added in the same way.
    pub fn push(
        &mut self,
        team: &TeamName,
        weight: f64,
        job_type: &JobType,
        arrived: Moment,
        tasks: &[QueuedTask],
    ) {
        let Some(first) = tasks.first() else { return };
        let number = first.task.number;
        let seconds: f64 = tasks.iter().map(|task| task.expected_seconds).sum();
        let sort_time = match self.first_come_first_served {
            true => arrived,
            false => {
                let max_delay = first.job_deadline.as_secs_f64() * MAX_DELAY_SHARE;
                arrived
                    + Duration::from_secs_f64((seconds * DELAY_PER_SECOND).clamp(0.0, max_delay))
            }
        };
        let queue = self.team_queue(team, weight);
        let mut ranks = Vec::new();
        for task in tasks {
            let rank = Rank { sort_time, number, requirements: task.requirements };
            let group = queue.groups.entry(rank).or_insert_with(|| {
                ranks.push(rank);
                TaskGroup { job_type: job_type.clone(), tasks: VecDeque::new() }
            });
            group.tasks.push_back(*task);
        }
        queue.queued_seconds += seconds;
        self.tasks += tasks.len();
        self.queued_seconds += seconds;
        let known = self.ranks.entry(number).or_insert_with(|| (team.clone(), Vec::new()));
        ranks.retain(|rank| !known.1.contains(rank));
        known.1.extend(ranks);
    }

    /// Returns the queue of a team, created if necessary, with the given weight.
    fn team_queue(&mut self, team: &TeamName, weight: f64) -> &mut TeamQueue {
        let floor = self.virtual_floor;
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            weight,
            virtual_time: floor,
            queued_seconds: 0.0,
            groups: BTreeMap::new(),
        });
        queue.weight = weight;
        if queue.groups.is_empty() {
            queue.virtual_time = queue.virtual_time.max(floor);
        }
        queue
    }

    /// Removes and returns the next task for which `place` finds a worker, with its team and what
    /// `place` returned. Teams are tried in the order in which they are to be served.
    pub fn pop<T, F>(&mut self, mut place: F) -> Option<(QueuedTask, TeamName, T)>
    where
        F: FnMut(Requirements, JobSize, &JobType) -> Option<T>,
    {
        let mut unplaceable: Vec<(Requirements, JobSize)> = Vec::new();
        for index in self.team_order() {
            let (team, queue) = self.teams.get_index(index)?;
            let mut found = None;
            for (rank, group) in &queue.groups {
                let size = JobSize::of(group.tasks.len());
                if unplaceable.contains(&(rank.requirements, size)) {
                    continue;
                }
                match place(rank.requirements, size, &group.job_type) {
                    Some(placed) => {
                        found = Some((*rank, placed));
                        break;
                    }
                    None => unplaceable.push((rank.requirements, size)),
                }
            }
            if let Some((rank, placed)) = found {
                let team = team.clone();
                let queued_task = self.take(index, rank)?;
                return Some((queued_task, team, placed));
            }
        }
        None
    }

    /// Indices of the teams with queued tasks, in the order in which they are to be served.
    fn team_order(&self) -> Vec<usize> {
        let mut order: Vec<usize> =
            (0..self.teams.len()).filter(|index| !self.teams[*index].groups.is_empty()).collect();
        if self.first_come_first_served {
            order.sort_by_key(|index| self.teams[*index].groups.keys().next().copied());
        } else {
            let virtual_time = |index: &usize| self.teams[*index].virtual_time;
            order.sort_by(|a, b| virtual_time(a).total_cmp(&virtual_time(b)));
        }
        order
    }

    /// Removes the first task of a group and charges it to its team.
    fn take(&mut self, index: usize, rank: Rank) -> Option<QueuedTask> {
        let (_, queue) = self.teams.get_index_mut(index)?;
        let group = queue.groups.get_mut(&rank)?;
        let queued_task = group.tasks.pop_front()?;
        let expected_seconds = queued_task.expected_seconds;
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
        queue.queued_seconds -= expected_seconds;
        self.virtual_floor = self.virtual_floor.max(queue.virtual_time);
        queue.virtual_time += expected_seconds / queue.weight.max(f64::MIN_POSITIVE);
        self.tasks -= 1;
        self.queued_seconds -= expected_seconds;
        Some(queued_task)
    }

    /// Removes all queued tasks of a job and returns their number.
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
            let removed_seconds: f64 = group.tasks.iter().map(|task| task.expected_seconds).sum();
            removed += group.tasks.len();
            queue.queued_seconds -= removed_seconds;
            self.queued_seconds -= removed_seconds;
        }
        self.tasks -= removed;
        removed
    }
}
