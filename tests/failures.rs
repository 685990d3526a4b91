//! Processes that die or freeze, connections that go silent, a store that
//! is down.

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

/// Urgent work starts within this, also across a lost coordinator.
const URGENT: Duration = Duration::from_millis(9400);

site_test!(
    a_job_outlives_the_entry_that_took_it,
    plan().entries(2),
    |mut site| {
        let at = site.coordinator().expect("a coordinator");
        let mut job = echo_job("a", 2, 3000, "kept");
        job["wait_s"] = json!(0);
        let answer = site.operator.submit(&site.entries[at].http, &job);
        assert_eq!(answer.body["durable"], true, "{}", answer.text);
        wait_for("its parts", Duration::from_secs(10), || {
            (site.starts().len() == 2).then_some(())
        });
        site.entries[at].process.kill();
        let other = [site.entries[1 - at].http.clone()];
        let answer = site.operator.follow(&other, answer);
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
        assert_eq!(answer.body["parts"][1]["p"], "kept");
        assert_eq!(site.starts().len(), 2);
    }
);

site_test!(
    a_waiting_job_outlives_the_entry_that_took_it,
    { plan().entries(2) },
    |mut site| {
        let at = site.coordinator().expect("a coordinator");
        let http = site.entries[at].http.clone();
        let mut blocker = echo_job("a", 16, 4000, "blocker");
        blocker["wait_s"] = json!(0);
        let _ = site.operator.submit(&http, &blocker);
        let mut job = echo_job("b", 1, 0, "patient");
        job["wait_s"] = json!(0);
        job["key"] = json!("patient");
        job["repeatable"] = json!(false);
        let answer = site.operator.submit(&http, &job);
        assert_eq!(answer.status, 202, "{}", answer.text);
        site.entries[at].process.kill();
        // Nobody polls: the other entry looks after the job by itself.
        let id = answer.job().to_owned();
        wait_for("its start", Duration::from_secs(40), || {
            site.starts()
                .iter()
                .any(|s| s.starts_with(&id))
                .then_some(())
        });
        let other = [site.entries[1 - at].http.clone()];
        let answer = site.operator.follow(&other, answer);
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
    }
);

site_test!(
    urgent_work_starts_in_time_across_a_lost_coordinator,
    { plan().entries(3) },
    |mut site| {
        let at = site.coordinator().expect("a coordinator");
        let other = site.entries[(at + 1) % 3].http.clone();
        site.entries[at].process.kill();
        let start = Instant::now();
        let mut job = echo_job("a", 2, 0, "urgent");
        job["class"] = json!("urgent");
        let answer = site.operator.submit(&other, &job);
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
        assert!(start.elapsed() < URGENT, "{:?}", start.elapsed());
    }
);

site_test!(
    urgent_work_starts_without_coordinator_and_store,
    { plan().entries(2) },
    |mut site| {
        let at = site.coordinator().expect("a coordinator");
        let other = site.entries[1 - at].http.clone();
        site.store_fault("down=1");
        site.entries[at].process.kill();
        let start = Instant::now();
        let mut job = echo_job("a", 2, 0, "urgent");
        job["class"] = json!("urgent");
        let answer = site.operator.submit(&other, &job);
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
        assert!(start.elapsed() < URGENT, "{:?}", start.elapsed());
        // A granted term outranks the provisional one when the store is back.
        site.store_fault("down=0");
        wait_for("a granted term", Duration::from_secs(15), || {
            let status = site.operator.get(&other, "/v1/status");
            let term = status.body["term"].as_u64()?;
            (term % 256 == 0 && term > 256).then_some(())
        });
    }
);

site_test!(
    a_coordinator_frozen_past_its_lease_wakes_up_fenced,
    { plan().entries(2) },
    |site| {
        let at = site.coordinator().expect("a coordinator");
        let other = site.entries[1 - at].http.clone();
        site.entries[at].process.freeze();
        wait_for("another coordinator", Duration::from_secs(15), || {
            let status = site.operator.get(&other, "/v1/status");
            (status.body["leading"] == true).then_some(())
        });
        let mut job = echo_job("a", 2, 800, "new");
        job["repeatable"] = json!(false);
        let answer = thread::scope(|scope| {
            let run = scope.spawn(|| {
                site.operator.run(std::slice::from_ref(&other), &job)
            });
            thread::sleep(Duration::from_millis(300));
            site.entries[at].process.thaw();
            run.join().expect("a caller")
        });
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
        wait_for("one coordinator", Duration::from_secs(10), || {
            let leading = |i: usize| {
                let http = &site.entries[i].http;
                site.operator.get(http, "/v1/status").body["leading"] == true
            };
            (!leading(at) && leading(1 - at)).then_some(())
        });
        let old = site.entries[at].http.clone();
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
        wait_for("its start", Duration::from_secs(10), || {
            (site.starts().len() == 1).then_some(())
        });
        let at = (0..3)
            .find(|i| {
                let http = &site.upstreams[*i].http;
                site.operator.get(http, "/starts").text.len() > 4
            })
            .expect("a worker");
        site.agents[at].process.kill();
        site.upstreams[at].process.kill();
        let answer = site.operator.follow(&site.http(), answer);
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
    }
);

site_test!(
    a_marked_job_on_a_lost_agent_is_unknown_never_doubled,
    { plan() },
    |mut site| {
        let mut job = echo_job("a", 1, 60_000, "once");
        job["wait_s"] = json!(0);
        job["repeatable"] = json!(false);
        let answer = site.operator.submit(&site.entries[0].http, &job);
        wait_for("its start", Duration::from_secs(10), || {
            (site.starts().len() == 1).then_some(())
        });
        let at = (0..2)
            .find(|i| {
                let http = &site.upstreams[*i].http;
                site.operator.get(http, "/starts").text.len() > 4
            })
            .expect("a worker");
        site.agents[at].process.kill();
        site.start_agent(at).expect("an agent");
        let answer = site.operator.follow(&site.http(), answer);
        assert_eq!(answer.outcome(), "unknown", "{}", answer.text);
        assert_eq!(site.starts().len(), 1);
    }
);

fn by_proxies(count: usize) -> (Vec<Proxy>, figrill_standin::site::Plan) {
    let mut plan = plan();
    let proxies: Vec<Proxy> = (0..count)
        .map(|_| Proxy::start(None).expect("a proxy"))
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

fn aim(site: &Site, proxies: &[Proxy]) {
    for (node, proxy) in site.agents.iter().zip(proxies) {
        let target: SocketAddr = node.peer.parse().expect("an address");
        proxy.set_target(target);
    }
}

#[test]
fn a_gang_survives_silent_connections_between_its_members() {
    let (proxies, plan) = by_proxies(3);
    let site = Site::start(&plan).expect("a site");
    aim(&site, &proxies);
    let run = |payload: &str| {
        let mut job = echo_job("a", 3, 10, payload);
        job["shape"]["accelerators"] = json!(8);
        let answer = site.operator.run(&site.http(), &job);
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
    };
    run("before");
    for way in [None, Some(Direction::ToTarget), Some(Direction::FromTarget)] {
        // The open connections carry nothing more, for good.
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
    let proxy = Proxy::start(None).expect("a proxy");
    plan.store_proxy = Some(proxy.address.to_string());
    let mut site = Site::with_store_only(&plan).expect("a store");
    proxy.set_target(site.store_http.parse().expect("an address"));
    site.start_entry(0).expect("an entry");
    for i in 0..2 {
        site.start_agent(i).expect("an agent");
        site.start_upstream(i).expect("an upstream");
    }
    site.wait_for_workers(2);
    site.apply_settings("[workspace/a]\n");
    proxy.blackhole(None);
    let mut job = echo_job("a", 1, 0, "x");
    job["repeatable"] = json!(false);
    let answer = site.operator.run(&site.http(), &job);
    let done = wait_for("a marked job", Duration::from_secs(20), || {
        let again = site.operator.run(&site.http(), &job);
        (again.outcome() == "done").then_some(again)
    });
    assert_eq!(done.outcome(), "done", "first {}", answer.text);
    // Slow and cut-off answers are a delay and no more.
    proxy.set_delay(Duration::from_millis(100));
    let answer = site.operator.run(&site.http(), &job);
    assert_eq!(answer.outcome(), "done", "{}", answer.text);
    proxy.set_delay(Duration::ZERO);
    proxy.reset_after(400);
    proxy.close_connections();
    let unmarked = echo_job("a", 2, 0, "y");
    let answer = site.operator.run(&site.http(), &unmarked);
    assert_eq!(answer.outcome(), "done", "{}", answer.text);
}

site_test!(
    work_goes_on_through_a_long_outage_of_the_store,
    { plan().entries(2).agents(3) },
    |site| {
        site.store_fault("down=1");
        let start = Instant::now();
        let mut done = 0;
        // Three times as long as any lease lasts.
        while start.elapsed() < Duration::from_secs(10) {
            let turn = done % 2;
            let http = [site.entries[turn].http.clone()];
            let answer = site.operator.run(&http, &echo_job("a", 2, 5, "x"));
            assert_eq!(answer.outcome(), "done", "{}", answer.text);
            done += 1;
        }
        assert!(done > 20, "{done}");
        site.store_fault("down=0");
        wait_for("a marked job", Duration::from_secs(20), || {
            let mut job = echo_job("a", 1, 0, "marked");
            job["repeatable"] = json!(false);
            let answer = site.operator.run(&site.http(), &job);
            (answer.outcome() == "done").then_some(())
        });
    }
);

site_test!(
    a_worker_that_fails_everything_is_quarantined,
    { plan().agents(3) },
    |site| {
        // The worker that is preferred while all are empty is the one to
        // break; which it is depends on who connected first.
        let first = site.operator.run(&site.http(), &echo_job("a", 1, 0, "f"));
        assert_eq!(first.outcome(), "done", "{}", first.text);
        let starts = |i: usize| {
            let http = &site.upstreams[i].http;
            let starts = site.operator.get(http, "/starts");
            starts.body.as_array().map_or(0, Vec::len)
        };
        let at = (0..3).find(|i| starts(*i) > 0).expect("a worker");
        let broken = &site.upstreams[at].http;
        let url = format!("http://{broken}/fault?fail_all=1");
        let _ = site.operator.call("POST", &url, "");
        for i in 0..40 {
            let job = echo_job("a", 1, 0, &format!("q{i}"));
            let answer = site.operator.run(&site.http(), &job);
            assert_eq!(answer.outcome(), "done", "{}", answer.text);
        }
        let events = site.events();
        let named =
            |name: &str| events.iter().filter(|e| e.name == name).count();
        assert!(named("WorkerQuarantined") >= 1);
        // Once it is quarantined, only probes reach it.
        assert!(starts(at) < 10, "{}", starts(at));
    }
);

site_test!(
    a_poison_job_fails_and_quarantines_nobody,
    plan().agents(3),
    |site| {
        let job = json!({
            "workspace": "a", "service": "poison",
            "shape": { "parts": 1, "accelerators": 1 },
            "inputs": [ { "fail": "always" } ],
        });
        let answer = site.operator.run(&site.http(), &job);
        assert_eq!(answer.outcome(), "failed", "{}", answer.text);
        assert_eq!(answer.body["reason"], "too_many_attempts");
        assert_eq!(site.starts().len(), 3);
        let events = site.events();
        assert!(!events.iter().any(|e| e.name == "WorkerQuarantined"));
    }
);

site_test!(
    half_of_the_processes_restart_at_once,
    { plan().entries(2).agents(4) },
    |mut site| {
        for i in [0, 2] {
            site.agents[i].process.kill();
        }
        site.entries[0].process.kill();
        for i in [0, 2] {
            site.start_agent(i).expect("an agent");
        }
        site.start_entry(0).expect("an entry");
        site.wait_for_workers(4);
        let mut job = echo_job("a", 4, 0, "storm");
        job["shape"]["accelerators"] = json!(8);
        let caller = Caller::new(OPERATOR_TOKEN);
        let answer = caller.run(&site.http(), &job);
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
    }
);
