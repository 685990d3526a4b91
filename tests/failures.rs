//! Tests of failures: processes that are killed or frozen, connections that
//! go silent, a store that is down, and workers or jobs that always fail.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use figrill_standin::{
    caller::{Caller, echo_job},
    process::wait_for,
    proxy::{Direction, Proxy},
    site::{AgentPlan, OPERATOR_TOKEN, Site},
};
use serde_json::json;

use crate::util::plan;

/// The maximum time until urgent work starts, also if the coordinator is lost
/// and must be replaced first.
const URGENT_LIMIT: Duration = Duration::from_millis(9400);

site_test!(
    a_running_job_survives_the_loss_of_its_entry,
    plan().entries(2),
    |mut site| {
        let coordinator = site.coordinator().expect("there is a coordinator");
        let mut job = echo_job("a", 2, 3000, "kept");
        job["wait_s"] = json!(0);
        let answer =
            site.operator.submit(&site.entries[coordinator].http, &job);
        assert_eq!(answer.body["durable"], true, "{}", answer.text);
        wait_for("the job's parts to start", Duration::from_secs(10), || {
            (site.starts().len() == 2).then_some(())
        });
        site.entries[coordinator].process.kill();
        let other = [site.entries[1 - coordinator].http.clone()];
        let answer = site.operator.follow(&other, answer);
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
        assert_eq!(answer.body["parts"][1]["p"], "kept");
        assert_eq!(site.starts().len(), 2);
    }
);

site_test!(
    a_waiting_job_survives_the_loss_of_its_entry,
    { plan().entries(2) },
    |mut site| {
        let coordinator = site.coordinator().expect("there is a coordinator");
        let http = site.entries[coordinator].http.clone();
        let mut blocker = echo_job("a", 16, 4000, "blocker");
        blocker["wait_s"] = json!(0);
        let _ = site.operator.submit(&http, &blocker);
        let mut job = echo_job("b", 1, 0, "patient");
        job["wait_s"] = json!(0);
        job["key"] = json!("patient");
        job["repeatable"] = json!(false);
        let answer = site.operator.submit(&http, &job);
        assert_eq!(answer.status, 202, "{}", answer.text);
        site.entries[coordinator].process.kill();
        // Without any poll, the other entry must adopt the job by itself.
        let id = answer.job().to_owned();
        wait_for("the job's tasks to start", Duration::from_secs(40), || {
            site.starts()
                .iter()
                .any(|s| s.starts_with(&id))
                .then_some(())
        });
        let other = [site.entries[1 - coordinator].http.clone()];
        let answer = site.operator.follow(&other, answer);
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
    }
);

site_test!(
    urgent_work_starts_in_time_after_the_coordinator_is_lost,
    { plan().entries(3) },
    |mut site| {
        let coordinator = site.coordinator().expect("there is a coordinator");
        let other = site.entries[(coordinator + 1) % 3].http.clone();
        site.entries[coordinator].process.kill();
        let start = Instant::now();
        let mut job = echo_job("a", 2, 0, "urgent");
        job["class"] = json!("urgent");
        let answer = site.operator.submit(&other, &job);
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
        assert!(start.elapsed() < URGENT_LIMIT, "{:?}", start.elapsed());
    }
);

site_test!(
    urgent_work_starts_in_time_without_coordinator_and_store,
    { plan().entries(2) },
    |mut site| {
        let coordinator = site.coordinator().expect("there is a coordinator");
        let other = site.entries[1 - coordinator].http.clone();
        site.store_fault("down=1");
        site.entries[coordinator].process.kill();
        let start = Instant::now();
        let mut job = echo_job("a", 2, 0, "urgent");
        job["class"] = json!("urgent");
        let answer = site.operator.submit(&other, &job);
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
        assert!(start.elapsed() < URGENT_LIMIT, "{:?}", start.elapsed());
        // Once the store is back, a granted term must replace the provisional
        // one.
        site.store_fault("down=0");
        wait_for("a granted term", Duration::from_secs(15), || {
            let status = site.operator.get(&other, "/v1/status");
            let term = status.body["term"].as_u64()?;
            (term % 256 == 0 && term > 256).then_some(())
        });
    }
);

site_test!(
    a_coordinator_frozen_past_its_lease_is_fenced,
    { plan().entries(2) },
    |site| {
        let coordinator = site.coordinator().expect("there is a coordinator");
        let other = site.entries[1 - coordinator].http.clone();
        site.entries[coordinator].process.freeze();
        wait_for(
            "another entry to become coordinator",
            Duration::from_secs(15),
            || {
                let status = site.operator.get(&other, "/v1/status");
                (status.body["leading"] == true).then_some(())
            },
        );
        let mut job = echo_job("a", 2, 800, "new");
        job["repeatable"] = json!(false);
        let answer = thread::scope(|scope| {
            let run = scope.spawn(|| {
                site.operator.run(std::slice::from_ref(&other), &job)
            });
            thread::sleep(Duration::from_millis(300));
            site.entries[coordinator].process.thaw();
            run.join().expect("the caller thread succeeds")
        });
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
        wait_for(
            "only one entry to be coordinator",
            Duration::from_secs(10),
            || {
                let leading = |i: usize| {
                    let http = &site.entries[i].http;
                    site.operator.get(http, "/v1/status").body["leading"]
                        == true
                };
                (!leading(coordinator) && leading(1 - coordinator))
                    .then_some(())
            },
        );
        let old = site.entries[coordinator].http.clone();
        let answer = site.operator.run(&[old], &echo_job("a", 2, 0, "by old"));
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
        let starts = site.starts();
        assert_eq!(starts.len(), 4, "{starts:?}");
    }
);

site_test!(
    a_job_survives_the_loss_of_its_worker,
    plan().agents(3),
    |mut site| {
        let mut job = echo_job("a", 1, 2500, "again");
        job["wait_s"] = json!(0);
        let answer = site.operator.submit(&site.entries[0].http, &job);
        wait_for("the job's tasks to start", Duration::from_secs(10), || {
            (site.starts().len() == 1).then_some(())
        });
        let worker = (0..3)
            .find(|i| {
                let http = &site.upstreams[*i].http;
                site.operator.get(http, "/starts").text.len() > 4
            })
            .expect("one worker has started the job");
        site.agents[worker].process.kill();
        site.upstreams[worker].process.kill();
        let answer = site.operator.follow(&site.entry_addresses(), answer);
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
    }
);

site_test!(
    a_non_repeatable_job_of_a_lost_agent_is_unknown_and_not_rerun,
    { plan() },
    |mut site| {
        let mut job = echo_job("a", 1, 60_000, "once");
        job["wait_s"] = json!(0);
        job["repeatable"] = json!(false);
        let answer = site.operator.submit(&site.entries[0].http, &job);
        wait_for("the job's tasks to start", Duration::from_secs(10), || {
            (site.starts().len() == 1).then_some(())
        });
        let worker = (0..2)
            .find(|i| {
                let http = &site.upstreams[*i].http;
                site.operator.get(http, "/starts").text.len() > 4
            })
            .expect("one worker has started the job");
        site.agents[worker].process.kill();
        site.start_agent(worker).expect("the agent starts");
        let answer = site.operator.follow(&site.entry_addresses(), answer);
        assert_eq!(answer.outcome(), "unknown", "{}", answer.text);
        assert_eq!(site.starts().len(), 1);
    }
);

/// Returns a plan whose agents are reached through the returned proxies.
fn plan_with_proxies(
    count: usize,
) -> (Vec<Proxy>, figrill_standin::site::Plan) {
    let mut plan = plan();
    let proxies: Vec<Proxy> = (0..count)
        .map(|_| Proxy::start(None).expect("the proxy starts"))
        .collect();
    plan.agents = proxies
        .iter()
        .enumerate()
        .map(|(i, proxy)| AgentPlan {
            advertise: Some(proxy.address.to_string()),
            ..AgentPlan::nth(i)
        })
        .collect();
    (proxies, plan)
}

/// Points each proxy at its agent.
fn set_proxy_targets(site: &Site, proxies: &[Proxy]) {
    for (node, proxy) in site.agents.iter().zip(proxies) {
        let target: SocketAddr =
            node.peer.parse().expect("the address is valid");
        proxy.set_target(target);
    }
}

#[test]
fn a_gang_survives_silent_connections_between_its_members() {
    let (proxies, plan) = plan_with_proxies(3);
    let site = Site::start(&plan).expect("the site starts");
    set_proxy_targets(&site, &proxies);
    let run = |payload: &str| {
        let mut job = echo_job("a", 3, 10, payload);
        job["shape"]["accelerators"] = json!(8);
        let answer = site.operator.run(&site.entry_addresses(), &job);
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
    };
    run("before");
    for way in [None, Some(Direction::ToTarget), Some(Direction::FromTarget)] {
        // Open connections stay open but carry no more data in direction
        // `way`, or in both directions if it is `None`.
        for proxy in &proxies {
            proxy.blackhole(way);
        }
        run("silent");
        for proxy in &proxies {
            proxy.close_connections();
        }
        run("cut");
    }
}

#[test]
fn a_silent_connection_to_the_store_is_replaced() {
    let mut plan = plan();
    let proxy = Proxy::start(None).expect("the proxy starts");
    plan.store_proxy = Some(proxy.address.to_string());
    let mut site = Site::with_store_only(&plan).expect("the store starts");
    proxy.set_target(site.store_http.parse().expect("the address is valid"));
    site.start_entry(0).expect("the entry starts");
    for i in 0..2 {
        site.start_agent(i).expect("the agent starts");
        site.start_upstream(i).expect("the upstream starts");
    }
    site.wait_for_workers(2);
    site.apply_settings("[workspace/a]\n");
    proxy.blackhole(None);
    let mut job = echo_job("a", 1, 0, "x");
    job["repeatable"] = json!(false);
    let answer = site.operator.run(&site.entry_addresses(), &job);
    let done = wait_for(
        "a non-repeatable job to be done",
        Duration::from_secs(20),
        || {
            let again = site.operator.run(&site.entry_addresses(), &job);
            (again.outcome() == "done").then_some(again)
        },
    );
    assert_eq!(done.outcome(), "done", "first answer: {}", answer.text);
    // Slow and truncated answers of the store may only delay a job.
    proxy.set_delay(Duration::from_millis(100));
    let answer = site.operator.run(&site.entry_addresses(), &job);
    assert_eq!(answer.outcome(), "done", "{}", answer.text);
    proxy.set_delay(Duration::ZERO);
    proxy.close_after(400);
    proxy.close_connections();
    let repeatable = echo_job("a", 2, 0, "y");
    let answer = site.operator.run(&site.entry_addresses(), &repeatable);
    assert_eq!(answer.outcome(), "done", "{}", answer.text);
}

site_test!(
    repeatable_jobs_run_through_a_long_store_outage,
    { plan().entries(2).agents(3) },
    |site| {
        site.store_fault("down=1");
        let start = Instant::now();
        let mut done = 0;
        // Three times as long as any lease.
        while start.elapsed() < Duration::from_secs(10) {
            let index = done % 2;
            let http = [site.entries[index].http.clone()];
            let answer = site.operator.run(&http, &echo_job("a", 2, 5, "x"));
            assert_eq!(answer.outcome(), "done", "{}", answer.text);
            done += 1;
        }
        assert!(done > 20, "{done}");
        site.store_fault("down=0");
        wait_for(
            "a non-repeatable job to be done",
            Duration::from_secs(20),
            || {
                let mut job = echo_job("a", 1, 0, "marked");
                job["repeatable"] = json!(false);
                let answer = site.operator.run(&site.entry_addresses(), &job);
                (answer.outcome() == "done").then_some(())
            },
        );
    }
);

site_test!(
    a_worker_that_fails_everything_is_quarantined,
    { plan().agents(3) },
    |site| {
        // Breaks the worker that is preferred while all are empty. Which one
        // that is depends on the order in which the agents connected.
        let first = site
            .operator
            .run(&site.entry_addresses(), &echo_job("a", 1, 0, "f"));
        assert_eq!(first.outcome(), "done", "{}", first.text);
        let starts = |i: usize| {
            let http = &site.upstreams[i].http;
            let starts = site.operator.get(http, "/starts");
            starts.body.as_array().map_or(0, Vec::len)
        };
        let worker = (0..3)
            .find(|i| starts(*i) > 0)
            .expect("one worker has started the job");
        let broken = &site.upstreams[worker].http;
        let url = format!("http://{broken}/fault?fail_all=1");
        let _ = site.operator.call("POST", &url, "");
        for i in 0..40 {
            let job = echo_job("a", 1, 0, &format!("q{i}"));
            let answer = site.operator.run(&site.entry_addresses(), &job);
            assert_eq!(answer.outcome(), "done", "{}", answer.text);
        }
        let events = site.events();
        let count_of =
            |name: &str| events.iter().filter(|e| e.name == name).count();
        assert!(count_of("WorkerQuarantined") >= 1);
        // Once the worker is quarantined, only probes may reach it.
        assert!(starts(worker) < 10, "{}", starts(worker));
    }
);

site_test!(
    a_job_that_always_fails_quarantines_no_worker,
    plan().agents(3),
    |site| {
        let job = json!({
            "workspace": "a", "service": "poison",
            "shape": { "parts": 1, "accelerators": 1 },
            "inputs": [ { "fail": "always" } ],
        });
        let answer = site.operator.run(&site.entry_addresses(), &job);
        assert_eq!(answer.outcome(), "failed", "{}", answer.text);
        assert_eq!(answer.body["reason"], "too_many_attempts");
        assert_eq!(site.starts().len(), 3);
        let events = site.events();
        assert!(!events.iter().any(|e| e.name == "WorkerQuarantined"));
    }
);

site_test!(
    a_job_being_dispatched_survives_the_drain_of_the_coordinator,
    { plan().entries(2) },
    |site| {
        let coordinator = site.coordinator().expect("there is a coordinator");
        let http = site.entries[coordinator].http.clone();
        site.store.faults().delay = Duration::from_millis(100);
        let mut job = echo_job("a", 1, 0, "once");
        job["repeatable"] = json!(false);
        let answer = thread::scope(|scope| {
            let caller = scope.spawn(|| site.operator.submit(&http, &job));
            wait_for("the job to be placed", Duration::from_secs(10), || {
                let events = site.events();
                events.iter().any(|e| e.name == "JobPlaced").then_some(())
            });
            site.entries[coordinator].process.terminate();
            caller.join().expect("the caller thread succeeds")
        });
        let other = [site.entries[1 - coordinator].http.clone()];
        let answer = site.operator.follow(&other, answer);
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
        assert_eq!(site.starts().len(), 1);
    }
);

// Without the store, agents learn of the entry only from the other one.
site_test!(
    agents_find_an_entry_that_was_restarted_without_the_store,
    { plan().entries(2) },
    |mut site| {
        site.store_fault("down=1");
        site.entries[1].process.kill();
        let peer = site.entries[0].peer.clone();
        site.start_entry_with(1, &format!("entries = {peer}\n"))
            .expect("the entry starts");
        let http = site.entries[1].http.clone();
        wait_for("the agents to connect", Duration::from_secs(10), || {
            let status = site.operator.get(&http, "/v1/status");
            (status.body["agents"] == 2).then_some(())
        });
    }
);

site_test!(
    a_gang_runs_after_half_of_the_processes_restart,
    { plan().entries(2).agents(4) },
    |mut site| {
        for i in [0, 2] {
            site.agents[i].process.kill();
        }
        site.entries[0].process.kill();
        for i in [0, 2] {
            site.start_agent(i).expect("the agent starts");
        }
        site.start_entry(0).expect("the entry starts");
        site.wait_for_workers(4);
        let mut job = echo_job("a", 4, 0, "storm");
        job["shape"]["accelerators"] = json!(8);
        let caller = Caller::new(OPERATOR_TOKEN);
        let answer = caller.run(&site.entry_addresses(), &job);
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
    }
);
