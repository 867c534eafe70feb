//! Usage: `cranberrytray measure [--only NAME]... [--seconds S]`
//!
//! Grows one quantity at a time and fits what an entry VM spends: processor time by thread, bytes
//! at the socket, resident memory. The figures behind `docs/CAPACITY.md`.

use super::{CmdError, CmdResult, Exit, required};
use crate::{
    client::{AcceptOutcome, ConfigChange, Operator},
    coordination::{configuration::ConfigRow, core::Core},
    stand::platform::PlatformFaults,
    state::{
        id::{ConfigVersion, JobId, TeamName},
        job::{JobSpec, TaskSpec},
        ledger::{TagKey, issuer},
        policy::Policy,
        pool::WorkerInfo,
        time::Moment,
    },
    transport::traffic::{PEERS, PLATFORM},
    trial::site::{RPC_THREADS, Site, SitePlan, SiteVm, VM_THREADS, teams},
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// The arguments.
pub fn command() -> Command {
    Command::new("measure")
        .about("Measures what an entry VM spends as one quantity grows")
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("NAME")
                .help("zone-peers, far-peers, workers, teams, design-size, ledger, open-jobs, starts or config")
                .action(ArgAction::Append),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("S")
                .help("Length of each point")
                .default_value("6")
                .value_parser(value_parser!(u64).range(1..=600)),
        )
}

/// Runs the command.
///
/// # Errors
///
/// A [`CmdError`].
pub async fn run(args: &ArgMatches) -> CmdResult {
    let span = Duration::from_secs(required(args, "seconds"));
    let only: Vec<&String> = args.get_many("only").unwrap_or_default().collect();
    let wanted = |name: &str| only.is_empty() || only.iter().any(|asked| *asked == name);
    if wanted("zone-peers") {
        let plans = [2, 3, 4, 6].map(|n| (n, SitePlan { vms: vec![n], ..base() }));
        idle_series("zone-peers", "entry VMs of a zone", &plans, span).await?;
    }
    if wanted("far-peers") {
        let plans = [1, 5, 11, 23].map(|n| (n, SitePlan { vms: spread(n + 1), ..base() }));
        idle_series("far-peers", "entry VMs of other zones", &plans, span).await?;
    }
    if wanted("workers") {
        let plans = [1, 140, 400, 830].map(|n| (n, SitePlan { listed: n, ..base() }));
        idle_series("workers", "workers listed in the zone", &plans, span).await?;
    }
    if wanted("teams") {
        let plans = [1, 65, 130, 260].map(|n| (n, SitePlan { teams: n, ..base() }));
        team_series(&plans, span).await?;
    }
    if wanted("design-size") {
        design_size(span).await?;
    }
    if wanted("ledger") {
        ledger_series()?;
    }
    if wanted("open-jobs") {
        open_series()?;
    }
    if wanted("starts") {
        start_series(span).await?;
    }
    if wanted("config") {
        config_times().await?;
    }
    Ok(Exit::Done)
}

fn base() -> SitePlan {
    SitePlan { vms: vec![2], teams: 1, ..SitePlan::default() }
}

/// One entry VM alone in each zone.
fn spread(count: usize) -> Vec<usize> {
    vec![1; count]
}

/// Processor time, bytes and memory at one moment.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    vm_us: f64,
    rpc_us: f64,
    peer_bytes: f64,
    platform_bytes: f64,
    resident_kb: f64,
}

fn sum_thread_us(prefix: &str) -> f64 {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else { return 0.0 };
    let used = |dir: std::path::PathBuf| {
        let name = std::fs::read_to_string(dir.join("comm")).ok()?;
        let stat = std::fs::read_to_string(dir.join("schedstat")).ok()?;
        let ns: f64 = stat.split(' ').next()?.parse().ok()?;
        name.starts_with(prefix).then_some(ns / 1_000.0)
    };
    tasks.flatten().filter_map(|entry| used(entry.path())).sum()
}

fn resident_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or_default()
}

impl Spent {
    fn now() -> Self {
        Spent {
            vm_us: sum_thread_us(VM_THREADS),
            rpc_us: sum_thread_us(RPC_THREADS),
            peer_bytes: (PEERS.sent() + PEERS.received()) as f64,
            platform_bytes: (PLATFORM.sent() + PLATFORM.received()) as f64,
            resident_kb: resident_kb(),
        }
    }

    /// What was spent since `before`, per second and entry VM.
    fn since(self, before: Spent, span: Duration, vms: usize) -> Spent {
        let per = span.as_secs_f64() * vms as f64;
        Spent {
            vm_us: (self.vm_us - before.vm_us) / per,
            rpc_us: (self.rpc_us - before.rpc_us) / per,
            peer_bytes: (self.peer_bytes - before.peer_bytes) / per,
            platform_bytes: (self.platform_bytes - before.platform_bytes) / per,
            resident_kb: self.resident_kb,
        }
    }
}

/// Slope and intercept of the least-squares line.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (mx, my) =
        (points.iter().map(|p| p.0).sum::<f64>() / n, points.iter().map(|p| p.1).sum::<f64>() / n);
    let sxy: f64 = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
    let sxx: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
    let slope = sxy / sxx.max(f64::MIN_POSITIVE);
    (slope, my - slope * mx)
}

fn print_fit(what: &str, unit: &str, points: &[(f64, f64)]) {
    let (slope, intercept) = fit(points);
    println!("  fit {what}: {intercept:.2} + {slope:.4} x {unit}");
}

async fn idle_series(
    name: &str,
    quantity: &str,
    plans: &[(usize, SitePlan)],
    span: Duration,
) -> Result<(), CmdError> {
    println!("{name}: an idle entry VM, by number of {quantity}");
    let mut rows = Vec::new();
    for (n, plan) in plans {
        let site = Site::start(plan).await?;
        sleep(Duration::from_secs(3)).await;
        rows.push((*n as f64, measure_idle(&site, span).await));
        site.stop();
    }
    print_rows(&rows);
    Ok(())
}

async fn measure_idle(site: &Site, span: Duration) -> Spent {
    let before = Spent::now();
    sleep(span).await;
    Spent::now().since(before, span, site.vms.len())
}

fn print_rows(rows: &[(f64, Spent)]) {
    println!(
        "  {:>6} {:>12} {:>12} {:>14} {:>16} {:>12}",
        "n", "vm us/s", "rpc us/s", "peer bytes/s", "platform bytes/s", "rss kB"
    );
    for (n, s) in rows {
        println!(
            "  {n:>6} {:>12.0} {:>12.0} {:>14.0} {:>16.0} {:>12.0}",
            s.vm_us, s.rpc_us, s.peer_bytes, s.platform_bytes, s.resident_kb
        );
    }
    if rows.len() < 2 {
        return;
    }
    let column = |f: fn(&Spent) -> f64| rows.iter().map(|(n, s)| (*n, f(s))).collect::<Vec<_>>();
    print_fit("processor", "us/s", &column(|s| s.vm_us + s.rpc_us));
    print_fit("peer traffic", "bytes/s", &column(|s| s.peer_bytes));
    print_fit("platform traffic", "bytes/s", &column(|s| s.platform_bytes));
}

/// Every team offers a job a second, so that heartbeats have to tell their demand.
async fn team_series(plans: &[(usize, SitePlan)], span: Duration) -> Result<(), CmdError> {
    println!("teams: an entry VM with one small job a second from each team, by number of teams");
    let mut rows = Vec::new();
    for (n, plan) in plans {
        let site = Site::start(&SitePlan { workers: 8, ..plan.clone() }).await?;
        let names = team_names(*n)?;
        let load =
            tokio::spawn(steady_jobs(dispatcher(&site).await?.caller(), names, *n as f64, 1));
        sleep(Duration::from_secs(3)).await;
        rows.push((*n as f64, measure_idle(&site, span).await));
        load.abort();
        site.stop();
    }
    print_rows(&rows);
    Ok(())
}

/// Six zones of four entry VMs, 138 workers in the first, 130 teams that offer a job a second each
/// there: the mean over all entry VMs.
async fn design_size(span: Duration) -> Result<(), CmdError> {
    println!("design-size: 6 zones of 4 entry VMs, 138 workers listed, 130 jobs/s in one zone");
    let plan = SitePlan { vms: vec![4; 6], workers: 8, listed: 130, teams: 130 };
    let site = Site::start(&plan).await?;
    let names = team_names(130)?;
    let load = tokio::spawn(steady_jobs(dispatcher(&site).await?.caller(), names, 130.0, 1));
    sleep(Duration::from_secs(3)).await;
    let spent = measure_idle(&site, span * 4).await;
    load.abort();
    site.stop();
    print_rows(&[(24.0, spent)]);
    Ok(())
}

/// The entry VM that owns the slots, so that no job has to be passed on.
async fn dispatcher(site: &Site) -> Result<&SiteVm, CmdError> {
    for vm in &site.vms {
        let status = vm.operator().status().await?;
        if status.iter().any(|s| s.owned > 0 && s.vm.as_str() == vm.name()) {
            return Ok(vm);
        }
    }
    Ok(&site.vms[0])
}

fn team_names(count: usize) -> Result<Vec<TeamName>, CmdError> {
    Ok((0..count).map(|i| format!("team-{i}").parse()).collect::<Result<_, _>>()?)
}

fn small_job(team: &TeamName, tasks: usize) -> Result<JobSpec, CmdError> {
    let spec = JobSpec::new(team.clone(), "sort".parse()?).deadline_ms(20_000);
    Ok((0..tasks).fold(spec, |spec, _| spec.task(TaskSpec::new("sleep:20").declared_ms(20))))
}

/// Sends `rate` jobs a second, open loop, until aborted.
async fn steady_jobs(
    caller: crate::client::Caller,
    teams: Vec<TeamName>,
    rate: f64,
    tasks: usize,
) -> Result<(), CmdError> {
    let caller = Arc::new(caller);
    let begun = Instant::now();
    let mut ids: Vec<JobId> = Vec::new();
    for i in 0u64.. {
        let due = begun + Duration::from_secs_f64(i as f64 / rate);
        tokio::time::sleep_until(due.into()).await;
        if ids.is_empty() {
            ids = caller.tickets(500).await?;
        }
        let Some(id) = ids.pop() else { continue };
        let spec = small_job(&teams[i as usize % teams.len()], tasks)?;
        let caller = Arc::clone(&caller);
        tokio::spawn(async move { caller.submit(&id, &spec).await });
    }
    Ok(())
}

/// A core alone, for what the state of jobs costs.
fn lone_core(workers: usize) -> Result<Core, CmdError> {
    let policy = Policy { max_queued_tasks: 10_000_000, ..Policy::default() };
    let policy = Policy { admission: false, max_queued_bytes: 4 << 30, ..policy };
    let core = Core::new(issuer("zone", "vm", 1)?, TagKey([1; 16]), policy, 1);
    let mut out = Vec::new();
    let document = crate::coordination::configuration::ConfigDocument {
        configuration: teams(1)?,
        history: Vec::new(),
    };
    let row = ConfigRow { version: ConfigVersion(1), document: Arc::new(document) };
    core.replace_config_if_newer(row, &mut out);
    let infos: Result<Vec<_>, _> =
        (0..workers).map(|i| Ok(WorkerInfo::new(format!("w-{i}").parse()?, ""))).collect();
    let infos: Vec<WorkerInfo> = infos.map_err(|e: crate::state::id::IdError| e)?;
    core.on_worker_list(Moment::ZERO, &infos, &mut out);
    Ok(core)
}

fn ledger_series() -> Result<(), CmdError> {
    println!("ledger: resident memory by closed ids (cancelled before anything ran)");
    let core = lone_core(1)?;
    let mut points = Vec::new();
    let start = resident_kb();
    for n in 1..=4u32 {
        for id in core.issue(Moment::ZERO, 100_000) {
            let _ = core.cancel(Moment::ZERO, &id, &mut Vec::new());
        }
        let grown = resident_kb() - start;
        println!("  {:>8} ids: {grown:>10.0} kB", n * 100_000);
        points.push((f64::from(n) * 100_000.0, grown * 1_024.0));
    }
    print_fit("memory", "bytes an id", &points);
    Ok(())
}

fn open_series() -> Result<(), CmdError> {
    println!("open-jobs: resident memory by open jobs of 150 tasks with 1 kB of input each");
    let core = lone_core(1)?;
    let mut points = Vec::new();
    let start = resident_kb();
    let team: TeamName = "team-0".parse()?;
    for n in 1..=4u32 {
        for id in core.issue(Moment::ZERO, 100) {
            let mut spec = small_job(&team, 150)?;
            spec.tasks.iter_mut().for_each(|task| task.payload = "x".repeat(1_024));
            let submitted = core.submit(Moment::ZERO, &id, Arc::new(spec), &mut Vec::new());
            if let Err(e) = submitted {
                eprintln!("  not accepted: {e}");
            }
        }
        let grown = resident_kb() - start;
        println!("  {:>8} jobs: {grown:>10.0} kB", n * 100);
        points.push((f64::from(n) * 100.0, grown * 1_024.0));
    }
    print_fit("memory", "bytes a job", &points);
    Ok(())
}

/// Tasks in each job of the series of starts.
const JOB_TASKS: usize = 20;

async fn start_series(span: Duration) -> Result<(), CmdError> {
    println!("starts: two entry VMs of a zone, 40 workers, jobs of {JOB_TASKS} tasks, by starts/s");
    let plan = SitePlan { workers: 40, ..base() };
    let mut points = Vec::new();
    println!(
        "  {:>8} {:>12} {:>12} {:>14} {:>12}",
        "asked", "starts/s", "vm us/s", "rpc us/s", "us/start"
    );
    for rate in [200usize, 1_000, 2_000, 4_000] {
        let site = Site::start(&plan).await?;
        sleep(Duration::from_secs(1)).await;
        let jobs = rate as f64 / JOB_TASKS as f64 / 2.0;
        let loads: Vec<_> = site
            .vms
            .iter()
            .map(|vm| Ok(tokio::spawn(steady_jobs(vm.caller(), team_names(1)?, jobs, JOB_TASKS))))
            .collect::<Result<_, CmdError>>()?;
        sleep(Duration::from_secs(2)).await;
        let count = || site.workers.iter().map(|worker| worker.starts().len()).sum::<usize>();
        let (before, started) = (Spent::now(), count());
        sleep(span).await;
        let spent = Spent::now().since(before, span, 1);
        let starts = (count() - started) as f64 / span.as_secs_f64();
        loads.iter().for_each(tokio::task::JoinHandle::abort);
        let all = spent.vm_us + spent.rpc_us;
        println!(
            "  {rate:>8} {starts:>12.0} {:>12.0} {:>14.0} {:>12.1}",
            spent.vm_us,
            spent.rpc_us,
            all / starts
        );
        points.push((starts, all));
        site.stop();
    }
    print_fit("processor of both", "us a start", &points);
    Ok(())
}

async fn config_times() -> Result<(), CmdError> {
    println!("config: time from the operator's call to in force at every entry VM (6 in 3 zones)");
    let plan = SitePlan { vms: vec![2, 2, 2], teams: 130, ..base() };
    let mut site = Site::start(&plan).await?;
    sleep(Duration::from_secs(2)).await;
    let slow = PlatformFaults { delay_ms: 300, ..PlatformFaults::default() };
    let lossy = PlatformFaults { lose_write_answers: 1, ..PlatformFaults::default() };
    let up = PlatformFaults::default();
    for (name, faults) in [("up", up.clone()), ("slow, 300 ms", slow), ("answer lost", lossy)] {
        site.platform.set_faults(faults);
        let took = time_change(&site, None).await?;
        println!(
            "  platform {name:<14}: accepted after {:>6.1} ms, in force everywhere after {:>6.1} ms",
            took.0, took.1
        );
        site.platform.set_faults(up.clone());
        sleep(Duration::from_secs(1)).await;
    }
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    let took = time_change(&site, Some(down)).await?;
    println!(
        "  platform {:<14}: accepted after {:>6.1} ms, in force everywhere after {:>6.1} ms",
        "down after it", took.0, took.1
    );
    site.platform.set_faults(up);
    sleep(Duration::from_secs(3)).await;
    if let Some(mut vm) = site.vms.pop() {
        vm.stop();
        sleep(Duration::from_secs(3)).await;
        vm.start()?;
        let took = time_change(&site, None).await?;
        let begun = Instant::now();
        vm.wait_ready().await;
        let version = vm.operator().config().await?.0;
        println!(
            "  with an entry VM starting: in force at the others after {:>6.1} ms; the new one was ready {:>6.1} ms later, with version {version}",
            took.1,
            begun.elapsed().as_secs_f64() * 1_000.0
        );
        site.vms.push(vm);
    }
    site.stop();
    Ok(())
}

/// Milliseconds until a change is accepted, and until it is in force at every entry VM.
async fn time_change(site: &Site, then: Option<PlatformFaults>) -> Result<(f64, f64), CmdError> {
    let operators: Vec<Operator> = site.vms.iter().map(|vm| vm.operator()).collect();
    let (base, document) = operators[0].config().await?;
    let change = ConfigChange {
        base,
        operation: format!("measure-{}", base.0),
        operator: "measure".to_owned(),
        note: String::new(),
        document,
    };
    let begun = Instant::now();
    let accepted = operators[0].accept(&change).await?;
    let accept_ms = begun.elapsed().as_secs_f64() * 1_000.0;
    if let Some(faults) = then {
        site.platform.set_faults(faults);
    }
    if accepted.outcome != AcceptOutcome::Accepted {
        eprintln!("  {}", accepted.message);
    }
    for operator in &operators {
        while operator.config().await?.0 < accepted.version {
            sleep(Duration::from_millis(1)).await;
        }
    }
    Ok((accept_ms, begun.elapsed().as_secs_f64() * 1_000.0))
}
