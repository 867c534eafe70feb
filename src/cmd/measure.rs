//! Usage: `cranberrytray measure [--only NAME]... [--seconds S]`
//!
//! Measures the resources that an entry VM uses as one quantity grows (processor time by thread,
//! bytes at the sockets, resident memory) and fits a line. The entry VMs run in this process with a
//! fake platform and fake workers. `docs/CAPACITY.md` holds the results.

use super::{CmdError, CmdResult, Exit, required};
use crate::{
    client::{AcceptOutcome, ConfigChangeRequest, OperatorClient},
    coordination::{configuration::ConfigRow, core::Core},
    fake::platform::PlatformFaults,
    simulation::site::{
        RPC_THREAD_NAME, Site, SiteLayout, SiteVm, VM_THREAD_NAME, team_configuration,
    },
    state::{
        id::{ConfigVersion, JobId, TeamName},
        job::{JobSpec, TaskSpec},
        ledger::{TagKey, parse_issuer},
        policy::Policy,
        pool::WorkerInfo,
        time::Moment,
    },
    transport::traffic::{PEER_TRAFFIC, PLATFORM_TRAFFIC},
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("measure")
        .about("Measures the resources that an entry VM uses as one quantity grows")
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
                .help("Duration of each measurement, in seconds")
                .default_value("6")
                .value_parser(value_parser!(u64).range(1..=600)),
        )
}

/// Runs the subcommand with the parsed arguments.
///
/// # Errors
///
/// A [`CmdError`] if a site can't be started or does not answer.
pub async fn run(args: &ArgMatches) -> CmdResult {
    let span = Duration::from_secs(required(args, "seconds"));
    let only: Vec<&String> = args.get_many("only").unwrap_or_default().collect();
    let is_selected = |name: &str| only.is_empty() || only.iter().any(|asked| *asked == name);
    if is_selected("zone-peers") {
        let layouts = [2, 3, 4, 6].map(|n| (n, SiteLayout { vms: vec![n], ..base_layout() }));
        measure_idle("zone-peers", "entry VMs of a zone", &layouts, span).await?;
    }
    if is_selected("far-peers") {
        let layouts = [1, 5, 11, 23]
            .map(|n| (n, SiteLayout { vms: one_vm_per_zone(n + 1), ..base_layout() }));
        measure_idle("far-peers", "entry VMs of other zones", &layouts, span).await?;
    }
    if is_selected("workers") {
        let layouts =
            [1, 140, 400, 830].map(|n| (n, SiteLayout { listed_only: n, ..base_layout() }));
        measure_idle("workers", "workers listed in the zone", &layouts, span).await?;
    }
    if is_selected("teams") {
        let layouts = [1, 65, 130, 260].map(|n| (n, SiteLayout { teams: n, ..base_layout() }));
        measure_teams(&layouts, span).await?;
    }
    if is_selected("design-size") {
        measure_design_size(span).await?;
    }
    if is_selected("ledger") {
        measure_ledger()?;
    }
    if is_selected("open-jobs") {
        measure_open_jobs()?;
    }
    if is_selected("starts") {
        measure_starts(span).await?;
    }
    if is_selected("config") {
        measure_config().await?;
    }
    Ok(Exit::Success)
}

fn base_layout() -> SiteLayout {
    SiteLayout { vms: vec![2], teams: 1, ..SiteLayout::default() }
}

/// Returns the numbers of entry VMs by zone for `count` zones with one entry VM each.
fn one_vm_per_zone(count: usize) -> Vec<usize> {
    vec![1; count]
}

/// Resources used by all entry VMs of this process: totals since the start, or rates per second and
/// entry VM.
#[derive(Clone, Copy, Debug, Default)]
struct ResourceUsage {
    /// Processor time of the threads that serve callers, in microseconds.
    vm_us: f64,
    /// Processor time of the threads that serve peers and operators, in microseconds.
    rpc_us: f64,
    peer_bytes: f64,
    platform_bytes: f64,
    /// Resident memory of the whole process, in kB; never a rate.
    resident_kb: f64,
}

/// Returns the processor time of the threads whose names begin with `prefix`, in microseconds.
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

impl ResourceUsage {
    fn now() -> Self {
        ResourceUsage {
            vm_us: sum_thread_us(VM_THREAD_NAME),
            rpc_us: sum_thread_us(RPC_THREAD_NAME),
            peer_bytes: (PEER_TRAFFIC.sent() + PEER_TRAFFIC.received()) as f64,
            platform_bytes: (PLATFORM_TRAFFIC.sent() + PLATFORM_TRAFFIC.received()) as f64,
            resident_kb: resident_kb(),
        }
    }

    /// Returns the usage since `before` per second and entry VM. `span` is the time between the
    /// two, `vms` the number of entry VMs.
    fn rate_since(self, before: ResourceUsage, span: Duration, vms: usize) -> ResourceUsage {
        let vm_seconds = span.as_secs_f64() * vms as f64;
        ResourceUsage {
            vm_us: (self.vm_us - before.vm_us) / vm_seconds,
            rpc_us: (self.rpc_us - before.rpc_us) / vm_seconds,
            peer_bytes: (self.peer_bytes - before.peer_bytes) / vm_seconds,
            platform_bytes: (self.platform_bytes - before.platform_bytes) / vm_seconds,
            resident_kb: self.resident_kb,
        }
    }
}

/// Returns slope and intercept of the least-squares line through the points.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (mean_x, mean_y) =
        (points.iter().map(|p| p.0).sum::<f64>() / n, points.iter().map(|p| p.1).sum::<f64>() / n);
    let sxy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let sxx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = sxy / sxx.max(f64::MIN_POSITIVE);
    (slope, mean_y - slope * mean_x)
}

fn print_fit(name: &str, unit: &str, points: &[(f64, f64)]) {
    let (slope, intercept) = fit_line(points);
    println!("  fit {name}: {intercept:.2} + {slope:.4} x {unit}");
}

/// Measures idle entry VMs for each layout, which is paired with the value of the growing quantity.
async fn measure_idle(
    name: &str,
    quantity: &str,
    layouts: &[(usize, SiteLayout)],
    span: Duration,
) -> Result<(), CmdError> {
    println!("{name}: an idle entry VM, by number of {quantity}");
    let mut rows = Vec::new();
    for (n, layout) in layouts {
        let site = Site::start(layout).await?;
        sleep(Duration::from_secs(3)).await;
        rows.push((*n as f64, measure_usage(&site, span).await));
        site.stop();
    }
    print_rows(&rows);
    Ok(())
}

/// Measures the resource usage of a site's entry VMs over `span`.
async fn measure_usage(site: &Site, span: Duration) -> ResourceUsage {
    let before = ResourceUsage::now();
    sleep(span).await;
    ResourceUsage::now().rate_since(before, span, site.vms.len())
}

fn print_rows(rows: &[(f64, ResourceUsage)]) {
    println!(
        "  {:>6} {:>12} {:>12} {:>14} {:>16} {:>12}",
        "n", "vm us/s", "rpc us/s", "peer bytes/s", "platform bytes/s", "rss kB"
    );
    for (n, usage) in rows {
        println!(
            "  {n:>6} {:>12.0} {:>12.0} {:>14.0} {:>16.0} {:>12.0}",
            usage.vm_us, usage.rpc_us, usage.peer_bytes, usage.platform_bytes, usage.resident_kb
        );
    }
    if rows.len() < 2 {
        return;
    }
    let column =
        |f: fn(&ResourceUsage) -> f64| rows.iter().map(|(n, s)| (*n, f(s))).collect::<Vec<_>>();
    print_fit("processor", "us/s", &column(|s| s.vm_us + s.rpc_us));
    print_fit("peer traffic", "bytes/s", &column(|s| s.peer_bytes));
    print_fit("platform traffic", "bytes/s", &column(|s| s.platform_bytes));
}

/// Measures an entry VM while every team submits one job a second, so that heartbeats report the
/// demand of all teams.
async fn measure_teams(layouts: &[(usize, SiteLayout)], span: Duration) -> Result<(), CmdError> {
    println!("teams: an entry VM with one small job a second from each team, by number of teams");
    let mut rows = Vec::new();
    for (n, layout) in layouts {
        let site = Site::start(&SiteLayout { workers: 8, ..layout.clone() }).await?;
        let names = team_names(*n)?;
        let load =
            tokio::spawn(run_load(find_dispatcher(&site).await?.caller(), names, *n as f64, 1));
        sleep(Duration::from_secs(3)).await;
        rows.push((*n as f64, measure_usage(&site, span).await));
        load.abort();
        site.stop();
    }
    print_rows(&rows);
    Ok(())
}

/// Measures six zones of four entry VMs while 130 teams submit one job a second each in the first
/// zone, which lists 138 workers. Prints the mean over all entry VMs.
async fn measure_design_size(span: Duration) -> Result<(), CmdError> {
    println!("design-size: 6 zones of 4 entry VMs, 138 workers listed, 130 jobs/s in one zone");
    let layout = SiteLayout { vms: vec![4; 6], workers: 8, listed_only: 130, teams: 130 };
    let site = Site::start(&layout).await?;
    let names = team_names(130)?;
    let load = tokio::spawn(run_load(find_dispatcher(&site).await?.caller(), names, 130.0, 1));
    sleep(Duration::from_secs(3)).await;
    let usage = measure_usage(&site, span * 4).await;
    load.abort();
    site.stop();
    print_rows(&[(24.0, usage)]);
    Ok(())
}

/// Returns the entry VM that owns the zone's worker slots, where submitted jobs needn't be
/// forwarded; the first entry VM if none owns any.
async fn find_dispatcher(site: &Site) -> Result<&SiteVm, CmdError> {
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

/// Submits `rate` jobs a second without waiting for their answers (open loop), until aborted.
async fn run_load(
    caller: crate::client::CallerClient,
    teams: Vec<TeamName>,
    rate: f64,
    tasks: usize,
) -> Result<(), CmdError> {
    let caller = Arc::new(caller);
    let started_at = Instant::now();
    let mut ids: Vec<JobId> = Vec::new();
    for i in 0u64.. {
        let due = started_at + Duration::from_secs_f64(i as f64 / rate);
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

/// Creates a decision core without a daemon, to measure the memory that the state of jobs takes.
fn new_core(workers: usize) -> Result<Core, CmdError> {
    let policy = Policy { max_queued_tasks: 10_000_000, ..Policy::default() };
    let policy = Policy { admission: false, max_queued_bytes: 4 << 30, ..policy };
    let core = Core::new(parse_issuer("zone", "vm", 1)?, TagKey([1; 16]), policy, 1);
    let mut out = Vec::new();
    let document = crate::coordination::configuration::ConfigDocument {
        configuration: team_configuration(1)?,
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

/// Measures the memory that closed job ids take in the ledger.
fn measure_ledger() -> Result<(), CmdError> {
    println!("ledger: resident memory by closed ids (cancelled before anything ran)");
    let core = new_core(1)?;
    let mut points = Vec::new();
    let start_kb = resident_kb();
    for n in 1..=4u32 {
        for id in core.issue(Moment::ZERO, 100_000) {
            let _ = core.cancel(Moment::ZERO, &id, &mut Vec::new());
        }
        let grown_kb = resident_kb() - start_kb;
        println!("  {:>8} ids: {grown_kb:>10.0} kB", n * 100_000);
        points.push((f64::from(n) * 100_000.0, grown_kb * 1_024.0));
    }
    print_fit("memory", "bytes an id", &points);
    Ok(())
}

/// Measures the memory that open jobs take.
fn measure_open_jobs() -> Result<(), CmdError> {
    println!("open-jobs: resident memory by open jobs of 150 tasks with 1 kB of input each");
    let core = new_core(1)?;
    let mut points = Vec::new();
    let start_kb = resident_kb();
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
        let grown_kb = resident_kb() - start_kb;
        println!("  {:>8} jobs: {grown_kb:>10.0} kB", n * 100);
        points.push((f64::from(n) * 100.0, grown_kb * 1_024.0));
    }
    print_fit("memory", "bytes a job", &points);
    Ok(())
}

/// Number of tasks in each job whose starts are measured.
const JOB_TASKS: usize = 20;

/// Measures the processor time that a task start takes, at several rates of starts.
async fn measure_starts(span: Duration) -> Result<(), CmdError> {
    println!("starts: two entry VMs of a zone, 40 workers, jobs of {JOB_TASKS} tasks, by starts/s");
    let layout = SiteLayout { workers: 40, ..base_layout() };
    let mut points = Vec::new();
    println!(
        "  {:>8} {:>12} {:>12} {:>14} {:>12}",
        "asked", "starts/s", "vm us/s", "rpc us/s", "us/start"
    );
    for rate in [200usize, 1_000, 2_000, 4_000] {
        let site = Site::start(&layout).await?;
        sleep(Duration::from_secs(1)).await;
        let job_rate = rate as f64 / JOB_TASKS as f64 / 2.0;
        let loads: Vec<_> = site
            .vms
            .iter()
            .map(|vm| Ok(tokio::spawn(run_load(vm.caller(), team_names(1)?, job_rate, JOB_TASKS))))
            .collect::<Result<_, CmdError>>()?;
        sleep(Duration::from_secs(2)).await;
        let count_starts =
            || site.workers.iter().map(|worker| worker.starts().len()).sum::<usize>();
        let (before, starts_before) = (ResourceUsage::now(), count_starts());
        sleep(span).await;
        let usage = ResourceUsage::now().rate_since(before, span, 1);
        let starts = (count_starts() - starts_before) as f64 / span.as_secs_f64();
        loads.iter().for_each(tokio::task::JoinHandle::abort);
        let total_us = usage.vm_us + usage.rpc_us;
        println!(
            "  {rate:>8} {starts:>12.0} {:>12.0} {:>14.0} {:>12.1}",
            usage.vm_us,
            usage.rpc_us,
            total_us / starts
        );
        points.push((starts, total_us));
        site.stop();
    }
    print_fit("processor of both", "us a start", &points);
    Ok(())
}

/// Measures the time until a change of the configuration is in force, with several platform faults.
async fn measure_config() -> Result<(), CmdError> {
    println!("config: time from the operator's call to in force at every entry VM (6 in 3 zones)");
    let layout = SiteLayout { vms: vec![2, 2, 2], teams: 130, ..base_layout() };
    let mut site = Site::start(&layout).await?;
    sleep(Duration::from_secs(2)).await;
    let slow = PlatformFaults { delay_ms: 300, ..PlatformFaults::default() };
    let lossy = PlatformFaults { lose_write_answers: 1, ..PlatformFaults::default() };
    let no_faults = PlatformFaults::default();
    for (name, faults) in
        [("up", no_faults.clone()), ("slow, 300 ms", slow), ("answer lost", lossy)]
    {
        site.platform.set_faults(faults);
        let times_ms = time_change(&site, None).await?;
        println!(
            "  platform {name:<14}: accepted after {:>6.1} ms, in force everywhere after {:>6.1} ms",
            times_ms.0, times_ms.1
        );
        site.platform.set_faults(no_faults.clone());
        sleep(Duration::from_secs(1)).await;
    }
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    let times_ms = time_change(&site, Some(down)).await?;
    println!(
        "  platform {:<14}: accepted after {:>6.1} ms, in force everywhere after {:>6.1} ms",
        "down after it", times_ms.0, times_ms.1
    );
    site.platform.set_faults(no_faults);
    sleep(Duration::from_secs(3)).await;
    if let Some(mut vm) = site.vms.pop() {
        vm.stop();
        sleep(Duration::from_secs(3)).await;
        vm.start()?;
        let times_ms = time_change(&site, None).await?;
        let measuring_since = Instant::now();
        vm.wait_ready().await;
        let version = vm.operator().config().await?.0;
        println!(
            "  with an entry VM starting: in force at the others after {:>6.1} ms; the new one was ready {:>6.1} ms later, with version {version}",
            times_ms.1,
            measuring_since.elapsed().as_secs_f64() * 1_000.0
        );
        site.vms.push(vm);
    }
    site.stop();
    Ok(())
}

/// Makes a change of the configuration and returns the milliseconds until it is accepted and until
/// it is in force at every entry VM. `faults_after` are set at the platform as soon as the change
/// is accepted.
async fn time_change(
    site: &Site,
    faults_after: Option<PlatformFaults>,
) -> Result<(f64, f64), CmdError> {
    let operators: Vec<OperatorClient> = site.vms.iter().map(|vm| vm.operator()).collect();
    let (base, document) = operators[0].config().await?;
    let change = ConfigChangeRequest {
        base,
        operation: format!("measure-{}", base.0),
        operator: "measure".to_owned(),
        note: String::new(),
        document,
    };
    let started_at = Instant::now();
    let reply = operators[0].accept(&change).await?;
    let accept_ms = started_at.elapsed().as_secs_f64() * 1_000.0;
    if let Some(faults) = faults_after {
        site.platform.set_faults(faults);
    }
    if reply.outcome != AcceptOutcome::Accepted {
        eprintln!("  {}", reply.message);
    }
    for operator in &operators {
        while operator.config().await?.0 < reply.version {
            sleep(Duration::from_millis(1)).await;
        }
    }
    Ok((accept_ms, started_at.elapsed().as_secs_f64() * 1_000.0))
}
