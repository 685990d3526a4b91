//! Tests of calls that were meant for a former incarnation of an upstream and
//! are carried out by its next incarnation under the same id. A task must not
//! run twice at a time because of them.

use std::{
    fs, thread,
    time::{Duration, Instant},
};

use figrill_standin::{
    platform::{
        client::job,
        site::Site,
        workers::{Delay, Share, Successor},
    },
    process::wait_for,
};
use serde_json::Value;

use crate::{
    disruption::{SETTLING_TIME, Start, starts},
    platform::start_site,
};

/// The time after which a task that has started is in a list of its upstream
/// that the coordinator has read.
const LISTING_TIME: Duration = Duration::from_secs(1);

/// The time limit for a state that follows without faults.
const WAIT_LIMIT: Duration = Duration::from_secs(6);

/// The time limit for a task on an upstream that is cut off to be done
/// elsewhere. It includes a lease.
const ELSEWHERE_LIMIT: Duration = Duration::from_secs(25);

/// The time limit for a task to be done after its upstream has restarted and
/// the coordinator was lost.
const LATE_ATTEMPT_LIMIT: Duration = Duration::from_secs(25);

/// The age of a former incarnation at which the deadlines of its starts are
/// still ahead on the clock of a next incarnation that has just registered.
const YOUNG_AGE_MS: u64 = 3000;

/// The age of a former incarnation at which the deadlines of all its calls are
/// shortened to the maximum lease by a next incarnation.
const OLD_AGE_MS: u64 = 10_000;

/// The age of a former incarnation at which the deadline of its last start is
/// beyond the lease of a run that a next incarnation begins.
const OLDER_AGE_MS: u64 = 13_000;

/// How long an upstream answers nothing while it restarts silently.
const SILENCE: Duration = Duration::from_millis(600);

/// The speed of an upstream that is cut off, in percent. Its run outlasts the
/// lease.
const CUT_OFF_SPEED: u64 = 5;

/// The id of the first job that occupies an upstream that is not disrupted.
const FIRST_FILLER: u64 = 0x100;

/// The id of the first job whose task must not run twice.
const LONG_JOB: u64 = 0x200;

/// The id of the job that only the former incarnation was given.
const FORMER_JOB: u64 = 0x300;

/// Returns the names of all agents.
fn agent_names(site: &Site) -> Vec<String> {
    site.agents.iter().map(|a| a.name.clone()).collect()
}

/// Returns when the present incarnation of an upstream started.
fn born_ms(site: &Site, name: &str) -> u64 {
    site.workers.pool().nodes[name].upstream.incarnation.born_ms
}

/// Waits until all upstreams have run for `age_ms`.
fn wait_for_age(site: &Site, age_ms: u64) {
    let names = agent_names(site);
    let youngest = names.iter().map(|n| born_ms(site, n)).max();
    let until = youngest.expect("an upstream") + age_ms;
    let left = until.saturating_sub(site.workers.now_ms());
    thread::sleep(Duration::from_millis(left));
}

/// Holds up starts to all upstreams; `Share::None` ends this.
fn delay_starts(site: &Site, share: Share) {
    let delay = Delay {
        starts: share,
        ..Delay::default()
    };
    for name in agent_names(site) {
        site.workers.delay_calls(&name, Some(delay));
    }
}

fn wait_for_delayed_call(site: &Site, name: &str) {
    wait_for("a call to be held up", WAIT_LIMIT, || {
        (site.workers.delayed_calls(name) > 0).then_some(())
    });
}

fn restart(site: &Site, name: &str) {
    let restarted = site.workers.restart(name, Successor::default());
    restarted.expect("the upstream starts");
}

/// Waits until the agent of an upstream has registered its present
/// incarnation.
fn wait_until_registered(site: &Site, name: &str) {
    let log = site.dir.join(format!("{name}.log"));
    let born = format!("born={}", born_ms(site, name));
    wait_for("the next incarnation to be registered", WAIT_LIMIT, || {
        let text = fs::read_to_string(&log).unwrap_or_default();
        let is_up = |l: &str| l.contains("UpstreamUp") && l.contains(&born);
        text.lines().any(is_up).then_some(())
    });
}

/// Waits until the coordinator orders starts for the present incarnation of an
/// upstream.
fn wait_until_known(site: &Site, name: &str) {
    wait_until_registered(site, name);
    thread::sleep(SETTLING_TIME);
}

fn set_reachable(site: &Site, name: &str, reachable: bool) {
    if let Some(node) = site.workers.pool().nodes.get_mut(name) {
        node.reachable = reachable;
    }
}

/// Cuts an upstream off for good. Its runs become slow.
fn cut_off(site: &Site, name: &str) {
    if let Some(node) = site.workers.pool().nodes.get_mut(name) {
        node.reachable = false;
        node.speed_percent = CUT_OFF_SPEED;
    }
}

fn submit(site: &Site, id: u64, work: &Value) {
    let answer = site.client.submit(site.entry(0), id, work);
    assert_eq!(answer.status, 200);
}

fn wait_for_start(site: &Site, id: u64) -> Start {
    wait_for("a task to start", WAIT_LIMIT, || starts(site, id).pop())
}

/// Returns a job of one task without room for another one beside it, except
/// one of a single accelerator.
fn large_job(ms: u64) -> Value {
    job(1, 7, ms, false)
}

/// Returns a job of one task that takes all accelerators of an upstream.
fn filling_job(ms: u64) -> Value {
    job(1, 8, ms, false)
}

/// Occupies half of the upstreams. Returns the names of the others' agents.
fn occupy_half(site: &Site, ms: u64) -> Vec<String> {
    let count = site.agents.len() / 2;
    let fillers = (FIRST_FILLER..).take(count);
    for id in fillers.clone() {
        submit(site, id, &filling_job(ms));
    }
    let mut free = agent_names(site);
    for id in fillers {
        let occupied = wait_for_start(site, id).agent;
        free.retain(|name| *name != occupied);
    }
    free
}

/// Returns whether an upstream has completed a task of a job.
fn is_done(site: &Site, id: u64) -> bool {
    let done = format!(" done {id:016x}");
    let pool = site.workers.pool();
    pool.trace.iter().any(|l| l.contains(&done))
}

/// Waits until all jobs are done, and checks that no task ran twice.
fn assert_not_twice(site: &Site, entry: usize, jobs: &[u64], limit: Duration) {
    let started = Instant::now();
    let mut states = Vec::new();
    while states.iter().any(|s| s != "done") || states.is_empty() {
        thread::sleep(Duration::from_millis(50));
        let state = |id: &u64| site.client.state(site.entry(entry), *id);
        states = jobs.iter().map(state).collect::<Vec<_>>();
        if started.elapsed() > limit {
            break;
        }
    }
    // A violation says more than a job that is not done.
    site.assert_no_violations();
    assert!(states.iter().all(|s| s == "done"), "{states:?}");
}

/// When the coordinator is killed.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Change {
    Never,
    /// Early enough for its successor to take over before the restart.
    BeforeRestart,
    /// At the restart, so that its successor only knows the next incarnation.
    AtRestart,
}

/// When the next incarnation carries out the call that was held up.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Arrival {
    AtStart,
    /// One second after it was registered.
    AfterRegistration,
}

/// Kills the coordinator and returns the index of an entry that remains.
fn kill_coordinator(site: &mut Site) -> usize {
    let coordinator = site.coordinator().expect("a coordinator");
    site.entries[coordinator].process.kill();
    (coordinator + 1) % site.entries.len()
}

fn wait_for_coordinator(site: &Site, entry: usize) {
    wait_for("another coordinator", 2 * WAIT_LIMIT, || {
        (site.coordinator() == Some(entry)).then_some(())
    });
}

/// Starts a task with a first attempt that is held up and a second one that
/// is answered, and restarts its upstream, which then gets the first attempt.
fn check_late_attempt(change: Change, arrival: Arrival) {
    let entries = if change == Change::Never { 1 } else { 2 };
    let mut site = start_site(entries, 2);
    wait_for_age(&site, YOUNG_AGE_MS);
    delay_starts(&site, Share::First);
    // It is still running at the restart, and two runs of it fit beside each
    // other.
    let early = change == Change::BeforeRestart;
    let duration_ms = if early { 6000 } else { 3000 };
    submit(&site, LONG_JOB, &job(1, 1, duration_ms, false));
    let name = wait_for_start(&site, LONG_JOB).agent;
    delay_starts(&site, Share::None);
    thread::sleep(LISTING_TIME);
    assert_eq!(site.workers.delayed_calls(&name), 1);
    let mut entry = 0;
    if change != Change::Never {
        entry = kill_coordinator(&mut site);
    }
    if change == Change::BeforeRestart {
        wait_for_coordinator(&site, entry);
        thread::sleep(LISTING_TIME);
    }
    assert!(!is_done(&site, LONG_JOB), "too late for the restart");
    restart(&site, &name);
    if arrival == Arrival::AfterRegistration {
        wait_until_registered(&site, &name);
        thread::sleep(Duration::from_secs(1));
    }
    site.workers.carry_out_delayed(&name);
    assert_not_twice(&site, entry, &[LONG_JOB], LATE_ATTEMPT_LIMIT);
}

// Guards against runs that a first attempt begins in the next incarnation
// while the task is started elsewhere, because the second attempt was
// answered.
#[test]
fn a_late_attempt_at_the_start_of_the_next_incarnation_is_no_second_run() {
    check_late_attempt(Change::Never, Arrival::AtStart);
}

// Guards against the same after the task has already started again.
#[test]
fn a_late_attempt_after_the_registration_is_no_second_run() {
    check_late_attempt(Change::Never, Arrival::AfterRegistration);
}

// Guards against a coordinator that takes an adopted placement for one whose
// start can't be carried out any more.
#[test]
fn a_late_attempt_after_a_change_of_the_coordinator_is_no_second_run() {
    check_late_attempt(Change::BeforeRestart, Arrival::AtStart);
}

// Guards against the same after the task has already started again.
#[test]
fn a_later_attempt_after_a_change_of_the_coordinator_is_no_second_run() {
    check_late_attempt(Change::BeforeRestart, Arrival::AfterRegistration);
}

// Guards against a coordinator that never knew the incarnation that its
// predecessor has placed the task on.
#[test]
fn a_late_attempt_during_a_change_of_the_coordinator_is_no_second_run() {
    check_late_attempt(Change::AtRestart, Arrival::AtStart);
}

// Guards against the same if the late call precedes that coordinator's first.
#[test]
fn a_later_attempt_during_a_change_of_the_coordinator_is_no_second_run() {
    check_late_attempt(Change::AtRestart, Arrival::AfterRegistration);
}

/// Gives the next incarnation of an upstream a long task and cuts it off. Then
/// it carries out a call for its former incarnation, which `delay_call` has
/// held up.
fn check_lease(delay_call: fn(&Site, &str)) {
    let site = start_site(1, 2);
    wait_for_age(&site, OLD_AGE_MS);
    let name = occupy_half(&site, 10_000).remove(0);
    delay_call(&site, &name);
    site.workers.delay_calls(&name, None);
    restart(&site, &name);
    wait_until_known(&site, &name);
    submit(&site, LONG_JOB, &large_job(3000));
    assert_eq!(wait_for_start(&site, LONG_JOB).agent, name);
    thread::sleep(LISTING_TIME);
    cut_off(&site, &name);
    thread::sleep(Duration::from_secs(1));
    site.workers.carry_out_delayed(&name);
    assert_not_twice(&site, 0, &[LONG_JOB], ELSEWHERE_LIMIT);
}

fn delay_hold(site: &Site, name: &str) {
    let delay = Delay {
        holds: Share::First,
        ..Delay::default()
    };
    site.workers.delay_calls(name, Some(delay));
    wait_for_delayed_call(site, name);
}

fn delay_start_of_cancelled_job(site: &Site, name: &str) {
    wait_for_age(site, OLDER_AGE_MS);
    delay_starts(site, Share::First);
    submit(site, FORMER_JOB, &job(1, 1, 60_000, false));
    assert_eq!(wait_for_start(site, FORMER_JOB).agent, name);
    assert_eq!(site.client.cancel(site.entry(0), FORMER_JOB).status, 200);
    site.wait_for_state(0, FORMER_JOB, "canceled", WAIT_LIMIT);
    assert_eq!(site.workers.delayed_calls(name), 1);
}

// Guards against a task that is started elsewhere once the lease of the last
// grant is over, though a hold for the former incarnation has set a later end.
#[test]
fn a_late_hold_extends_no_run_beyond_its_assumed_lease() {
    check_lease(delay_hold);
}

// Guards against the same by a start.
#[test]
fn a_late_start_extends_no_run_beyond_its_assumed_lease() {
    check_lease(delay_start_of_cancelled_job);
}

/// A start that is ordered around the silent restart of its upstream.
#[derive(Default)]
struct SilentRestart {
    /// Whether the order follows the end of the former incarnation.
    ordered_after_end: bool,
    /// Whether the next incarnation is registered before it is cut off.
    registered: bool,
}

/// Orders a start that is carried out by the next incarnation of a silently
/// restarting upstream as its first call, and cuts the next incarnation off.
/// Returns the name of its agent, which is one of `free`.
fn order_around_silent_restart(
    site: &Site,
    case: &SilentRestart,
    id: u64,
    free: &[String],
) -> String {
    delay_starts(site, Share::All);
    if case.ordered_after_end {
        let [only] = free else {
            panic!("the start could be ordered elsewhere");
        };
        site.workers.end_silently(only);
    }
    submit(site, id, &large_job(3000));
    let name = wait_for("the start to be held up", WAIT_LIMIT, || {
        let is_delayed = |n: &&String| site.workers.delayed_calls(n) > 0;
        free.iter().find(is_delayed).cloned()
    });
    delay_starts(site, Share::None);
    let all_stops = Delay {
        stops: Share::All,
        ..Delay::default()
    };
    site.workers.delay_calls(&name, Some(all_stops));
    if !case.ordered_after_end {
        site.workers.end_silently(&name);
    }
    thread::sleep(SILENCE);
    site.workers.start_after_silence(&name, case.registered);
    if case.registered {
        wait_until_registered(site, &name);
    }
    cut_off(site, &name);
    assert_eq!(starts(site, id).len(), 1);
    name
}

// Guards against a task that is started elsewhere once the lease of the former
// incarnation is over, though the next incarnation has begun its run later.
#[test]
fn a_start_around_a_silent_restart_is_no_second_run() {
    let cases = [
        SilentRestart::default(),
        SilentRestart {
            registered: true,
            ..SilentRestart::default()
        },
        SilentRestart {
            ordered_after_end: true,
            ..SilentRestart::default()
        },
    ];
    let site = start_site(1, 2 * cases.len());
    wait_for_age(&site, OLD_AGE_MS);
    let mut free = occupy_half(&site, 8000);
    let jobs: Vec<u64> = (LONG_JOB..).take(cases.len()).collect();
    for (case, id) in cases.iter().zip(&jobs) {
        let used = order_around_silent_restart(&site, case, *id, &free);
        free.retain(|name| *name != used);
    }
    assert_not_twice(&site, 0, &jobs, ELSEWHERE_LIMIT);
}

// Guards against a task that is done and starts again, because its upstream
// has forgotten its end by an acknowledgement for the former incarnation.
#[test]
fn a_late_acknowledgement_makes_no_task_run_again() {
    let site = start_site(1, 1);
    let name = site.agents[0].name.clone();
    let delay = Delay {
        acknowledgements: Share::First,
        ..Delay::default()
    };
    site.workers.delay_calls(&name, Some(delay));
    submit(&site, FORMER_JOB, &job(1, 1, 200, false));
    site.wait_for_state(0, FORMER_JOB, "done", WAIT_LIMIT);
    wait_for_delayed_call(&site, &name);
    thread::sleep(LISTING_TIME);
    restart(&site, &name);
    wait_until_known(&site, &name);
    submit(&site, LONG_JOB, &large_job(1500));
    wait_for_start(&site, LONG_JOB);
    thread::sleep(LISTING_TIME);
    set_reachable(&site, &name, false);
    wait_for("the task to be done", WAIT_LIMIT, || {
        is_done(&site, LONG_JOB).then_some(())
    });
    site.workers.carry_out_delayed(&name);
    set_reachable(&site, &name, true);
    assert_not_twice(&site, 0, &[LONG_JOB], 2 * WAIT_LIMIT);
    assert_eq!(starts(&site, LONG_JOB).len(), 1);
}

/// How late an upstream carries out the calls that it leaves unanswered.
const LATENESS: Duration = Duration::from_millis(2500);

/// The time in which an agent makes all calls to start a run.
const ORDER_TIME: Duration = Duration::from_millis(1300);

/// The time for which an upstream is cut off after it has started again. All
/// late calls are carried out within it.
const CUT_TIME: Duration = Duration::from_millis(3500);

// Guards against a done task that starts again: the next incarnation, which is
// cut off, begins it by a late start, and then forgets its end by a late
// acknowledgement.
#[test]
fn a_late_start_beside_late_acknowledgements_is_no_second_run() {
    let site = start_site(1, 1);
    wait_for_age(&site, YOUNG_AGE_MS);
    let name = site.agents[0].name.clone();
    let late = |starts| Delay {
        starts,
        acknowledgements: Share::All,
        duration: Some(LATENESS),
        ..Delay::default()
    };
    site.workers.delay_calls(&name, Some(late(Share::None)));
    submit(&site, FORMER_JOB, &job(1, 1, 600, false));
    site.wait_for_state(0, FORMER_JOB, "done", WAIT_LIMIT);
    site.workers.delay_calls(&name, Some(late(Share::All)));
    submit(&site, LONG_JOB, &job(1, 1, 100, false));
    thread::sleep(ORDER_TIME);
    site.workers.end_silently(&name);
    site.workers.delay_calls(&name, None);
    thread::sleep(SILENCE / 2);
    site.workers.start_after_silence(&name, false);
    thread::sleep(CUT_TIME);
    set_reachable(&site, &name, true);
    assert_not_twice(&site, 0, &[LONG_JOB], ELSEWHERE_LIMIT);
}

/// Returns a site of one upstream that has done the task of a job, and the
/// agent's name. The first attempt to start the task is still held up, and the
/// coordinator is frozen.
fn frozen_site_with_late_attempt() -> (Site, String) {
    let site = start_site(1, 1);
    wait_for_age(&site, YOUNG_AGE_MS);
    let name = site.agents[0].name.clone();
    delay_starts(&site, Share::First);
    submit(&site, FORMER_JOB, &job(1, 1, 200, false));
    site.wait_for_state(0, FORMER_JOB, "done", WAIT_LIMIT);
    delay_starts(&site, Share::None);
    thread::sleep(LISTING_TIME);
    assert_eq!(site.workers.delayed_calls(&name), 1);
    site.entries[0].process.freeze();
    (site, name)
}

/// Has an upstream carry out the attempt that is held up, and checks that it
/// does not start the task again.
fn assert_late_attempt_is_refused(site: &Site, name: &str) {
    site.workers.carry_out_delayed(name);
    site.entries[0].process.thaw();
    thread::sleep(LISTING_TIME);
    site.assert_no_violations();
    assert_eq!(starts(site, FORMER_JOB).len(), 1);
}

// Guards against a done task that starts again on an incarnation that its
// agent knows and the coordinator does not.
#[test]
fn a_late_attempt_while_the_coordinator_is_frozen_starts_no_done_task() {
    let (site, name) = frozen_site_with_late_attempt();
    restart(&site, &name);
    wait_until_registered(&site, &name);
    assert_late_attempt_is_refused(&site, &name);
}

// Guards against the same if the agent has restarted as well, and no
// coordinator has sent it a fencing token.
#[test]
fn a_late_attempt_at_a_restarted_agent_starts_no_done_task() {
    let (mut site, name) = frozen_site_with_late_attempt();
    site.agents[0].process.kill();
    restart(&site, &name);
    site.restart_agent(0).expect("the agent starts");
    wait_until_registered(&site, &name);
    assert_late_attempt_is_refused(&site, &name);
}

// Guards against an upstream that gets no work, because the agent that raised
// its fencing token has restarted and doesn't know that.
#[test]
fn an_upstream_that_was_fenced_by_an_earlier_agent_gets_work() {
    let (mut site, name) = frozen_site_with_late_attempt();
    restart(&site, &name);
    wait_until_registered(&site, &name);
    site.agents[0].process.kill();
    site.restart_agent(0).expect("the agent starts");
    site.entries[0].process.thaw();
    submit(&site, LONG_JOB, &large_job(300));
    assert_not_twice(&site, 0, &[LONG_JOB], WAIT_LIMIT);
}
