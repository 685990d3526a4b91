//! Tests on the users' platform with entries that another writer has left in
//! the store, or that a caller has submitted.
//!
//! An invalid entry must end no process and no thread, and must not keep the
//! entries and the coordinator from finding what else is there.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use figrill_standin::{
    platform::{
        client::job,
        site::{API_KEY, Site, configuration},
    },
    process::wait_for,
};
use figrill_state::kv::{Kv, Txn};
use serde_json::{Value, json};

use crate::platform::start_site;

/// The time limit for states that are reached in spite of invalid entries.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// The time for which the processes run with the invalid entries before their
/// logs are checked.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// The maximum number of lines that a process may log about one invalid entry
/// during a test.
const MAX_LINES_PER_ENTRY: usize = 20;

/// Writes an item as another writer would.
fn write(site: &Site, key: &str, value: &[u8]) {
    let txn = Txn {
        puts: vec![(key.to_owned(), value.to_vec(), None)],
        ..Txn::default()
    };
    let written = site.kv.commit(&txn, Duration::ZERO);
    assert!(written.is_ok(), "{key}: {written:?}");
}

fn read(site: &Site, key: &str) -> Vec<u8> {
    let item = site.kv.get(key, Duration::ZERO);
    item.ok().flatten().expect(key).value
}

/// Values that are no address of a process.
fn invalid_addresses() -> Vec<(&'static str, Vec<u8>)> {
    vec![
        ("port", b"127.0.0.1:99999".to_vec()),
        ("no-port", b"127.0.0.1".to_vec()),
        ("host", b"no-such-host.invalid:80".to_vec()),
        ("bytes", vec![0xff, 0xfe, 0]),
        ("empty", Vec::new()),
        ("nested", "[".repeat(50_000).into_bytes()),
        ("a&b=#%25 +", b"127.0.0.1:0".to_vec()),
    ]
}

/// Returns the record of job `id` with one step, changed by `change`.
fn job_record(id: u64, change: fn(&mut Value)) -> Vec<u8> {
    let mut record = json!({
        "id": id, "workspace": "a", "queue": "q", "service": "svc",
        "priority": 1, "attempts": 2, "stretch": 3.0,
        "target": {"secs": 1, "nanos": 0},
        "payload": "ms=10 cpu=1000 mem=1000 gpu=0 gang=0",
        "steps": [{"count": 1, "estimate_ms": 10}],
        "schedule": null, "accepted_ms": 0, "cancelled": false,
    });
    change(&mut record);
    record.to_string().into_bytes()
}

/// The id of the job whose invalid record is the first of
/// [`invalid_job_records`].
const FIRST_INVALID_JOB: u64 = 0x0dd0;

/// A job that is only named in the record of another one.
const MISPLACED_JOB: u64 = 0xabc;

/// Values that are no record of a job, for the jobs from [`FIRST_INVALID_JOB`]
/// on.
fn invalid_job_records() -> Vec<Vec<u8>> {
    let changes: [fn(&mut Value); 11] = [
        |r| r["steps"][0]["count"] = json!(u32::MAX),
        |r| r["steps"][0]["count"] = json!(-1),
        |r| r["steps"][0]["after"] = json!([7]),
        |r| r["steps"] = json!([]),
        |r| r["steps"][0]["estimate_ms"] = json!(u64::MAX),
        |r| r["target"]["secs"] = json!(u64::MAX),
        |r| r["accepted_ms"] = json!(u64::MAX),
        |r| r["schedule"] = schedule(0, 0, u32::MAX),
        |r| r["schedule"] = schedule(9, u64::MAX, 3),
        |r| r["id"] = json!(MISPLACED_JOB),
        |r| r["payload"] = json!(7),
    ];
    let mut records: Vec<Vec<u8>> = (FIRST_INVALID_JOB..)
        .zip(changes)
        .map(|(id, change)| job_record(id, change))
        .collect();
    let record = job_record(FIRST_INVALID_JOB, |_| ());
    let text = String::from_utf8_lossy(&record).into_owned();
    records.push(text.replace("3.0", "1e999").into_bytes());
    records.push("[".repeat(50_000).into_bytes());
    records.push(vec![0xff, 0xfe]);
    records
}

fn schedule(first_ms: u64, every_ms: u64, times: u32) -> Value {
    json!({"first_ms": first_ms, "every_ms": every_ms, "times": times})
}

/// Writes invalid entries under each prefix that the processes read.
fn write_invalid_entries(site: &Site) {
    for (name, value) in invalid_addresses() {
        write(site, &format!("figrill/in/agent/{name}"), &value);
        write(site, &format!("figrill/entry/{name}"), &value);
        write(site, &format!("figrill/in/{name}"), &value);
        write(site, &format!("figrill/out/job/{name}"), &value);
        write(site, &format!("figrill/started/{name}"), &value);
        write(site, &format!("figrill/in/job/{name}"), &value);
    }
    for (id, value) in (FIRST_INVALID_JOB..).zip(&invalid_job_records()) {
        write(site, &format!("figrill/in/job/{id:016x}"), value);
    }
    // Keys that begin like those of single records.
    let other = configuration(99, &["key-of-nobody"]).to_string();
    write(site, "op/config.old", other.as_bytes());
    write(site, "figrill/coordinator.old", b"entry-9 1");
}

/// Checks that no process has ended and no thread has died.
fn assert_all_alive(site: &mut Site) {
    for member in site.entries.iter_mut().chain(&mut site.agents) {
        let name = member.name.clone();
        assert!(member.process.is_running(), "{name} has ended");
        let log = fs::read_to_string(site.dir.join(format!("{name}.log")));
        let log = log.expect("the log can be read");
        let panic = log.lines().find(|l| l.contains("panicked at"));
        assert_eq!(panic, None, "{name}");
    }
}

/// Checks that no process logs invalid entries without end.
fn assert_no_flood(site: &Site) {
    let entries =
        invalid_addresses().len() * 6 + invalid_job_records().len() + 2;
    for member in &site.entries {
        let log = site.dir.join(format!("{}.log", member.name));
        let log = fs::read_to_string(log).expect("the log can be read");
        let lines = log.lines().filter(|l| l.contains("EntryRefused"));
        let lines = lines.count();
        assert!(lines > 0, "{} refused nothing", member.name);
        assert!(lines <= entries * MAX_LINES_PER_ENTRY, "{lines} lines");
    }
}

/// Submits a job at each entry and waits until they are done.
fn assert_serving(site: &Site, first_id: u64) {
    for (i, id) in (0..site.entries.len()).zip(first_id..) {
        let work = job(1, 1, 100, false);
        wait_for("the job to be accepted", WAIT_LIMIT, || {
            let answer = site.client.submit(site.entry(i), id, &work);
            (answer.status == 200).then_some(())
        });
        site.wait_for_state(i, id, "done", WAIT_LIMIT);
    }
}

#[test]
fn invalid_entries_in_the_store_end_no_process_and_hide_no_other_entry() {
    let mut site = start_site(2, 2);
    let entry = site.entry(0);
    let long = job(2, 1, 6000, false);
    assert_eq!(site.client.submit(entry, 1, &long).status, 200);
    wait_for("the job's tasks to start", WAIT_LIMIT, || {
        (site.starts(1) == 2).then_some(())
    });
    write_invalid_entries(&site);
    thread::sleep(SETTLING_TIME);
    assert_all_alive(&mut site);
    assert_serving(&site, 100);
    site.wait_for_state(0, 1, "done", WAIT_LIMIT);
    assert_eq!(site.starts(1), 2);
    // The next coordinator reads all entries at once.
    let coordinator = site.coordinator().expect("there is a coordinator");
    site.entries[coordinator].process.kill();
    wait_for("another coordinator", WAIT_LIMIT, || {
        (site.coordinator() == Some(1 - coordinator)).then_some(())
    });
    site.restart_entry(coordinator).expect("the entry starts");
    site.agents[0].process.kill();
    site.restart_agent(0).expect("the agent starts");
    assert_serving(&site, 200);
    assert_all_alive(&mut site);
    assert_no_flood(&site);
    for id in
        (FIRST_INVALID_JOB..FIRST_INVALID_JOB + 32).chain([MISPLACED_JOB])
    {
        assert_eq!(site.starts(id), 0, "job {id:x}");
    }
    assert_eq!(site.starts(1), 2);
    site.assert_no_violations();
}

/// Each process of the pair would take the stream of the other name for its
/// own, and close it, again and again.
#[test]
fn an_entry_with_the_address_of_another_closes_no_streams() {
    let mut site = start_site(2, 1);
    let agent = read(&site, "figrill/in/agent/agent-0");
    let entry = read(&site, "figrill/entry/entry-0");
    write(&site, "figrill/in/agent/alias", &agent);
    write(&site, "figrill/entry/alias", &entry);
    thread::sleep(SETTLING_TIME);
    assert_serving(&site, 100);
    assert_all_alive(&mut site);
    for member in site.entries.iter().chain(&site.agents) {
        let log = site.dir.join(format!("{}.log", member.name));
        let log = fs::read_to_string(log).expect("the log can be read");
        let opened = log.lines().filter(|l| l.contains("PeerUp")).count();
        assert!(opened <= 6, "{} opened {opened} streams", member.name);
    }
}

#[test]
fn an_invalid_secret_is_replaced() {
    let mut site = start_site(1, 1);
    for (invalid, id) in
        [&b"short"[..], b"\xff\xfe"].into_iter().zip([100, 200])
    {
        site.entries[0].process.kill();
        site.agents[0].process.kill();
        write(&site, "figrill/secret", invalid);
        site.restart_entry(0).expect("the entry starts");
        site.restart_agent(0).expect("the agent starts");
        assert_serving(&site, id);
        assert_all_alive(&mut site);
        assert_ne!(read(&site, "figrill/secret"), invalid);
    }
}

/// An entry writes its name and a number there, so another value is no sign
/// of a coordinator, and nobody removes it.
#[test]
fn an_invalid_record_of_the_coordinator_is_replaced() {
    let mut site = start_site(2, 1);
    for member in &mut site.entries {
        member.process.kill();
    }
    wait_for("the lease to expire", WAIT_LIMIT, || {
        site.coordinator().is_none().then_some(())
    });
    write(&site, "figrill/coordinator", b"\xff");
    site.restart_entry(0).expect("the entry starts");
    site.restart_entry(1).expect("the entry starts");
    assert_serving(&site, 100);
    assert_all_alive(&mut site);
}

/// Sends the bytes of a request, and returns the status of its answer.
fn send(to: SocketAddr, head: &str, body: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).expect("a connection");
    let length = body.len();
    let head = format!(
        "{head} HTTP/1.1\r\nhost: jobs.example\r\nx-key: {API_KEY}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    let sent = stream.write_all(&[head.as_bytes(), body].concat());
    sent.expect("the request is sent");
    let mut answer = Vec::new();
    // The other side may reset the connection after its answer.
    let _ = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer).into_owned();
    text.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Bodies that are no JSON object with valid values.
fn invalid_bodies() -> Vec<Vec<u8>> {
    vec![
        "[".repeat(500_000).into_bytes(),
        br#"{"steps":[{"count":1e999}],"seq":1e999}"#.to_vec(),
        br#"{"steps":[{"count":-1}],"seq":-1}"#.to_vec(),
        br#"{"steps":[{"count":1.5}],"seq":1.5}"#.to_vec(),
        br#"{"steps":7,"seq":"7"}"#.to_vec(),
        br#"{"steps":[],"steps":[{}],"seq":1,"seq":2}"#.to_vec(),
        br#"{"steps":[{}],"times":3,"interval_ms":18446744073709551615}"#
            .to_vec(),
        br#"{"steps":[{}],"times":4294967295}"#.to_vec(),
        br#"{"steps":[{"count":4294967295},{"count":4294967295}]}"#.to_vec(),
        br#"{"steps":[{"after":[4294967295]}]}"#.to_vec(),
        b"\xff\xfe\x00".to_vec(),
        b"null".to_vec(),
        Vec::new(),
    ]
}

#[test]
fn invalid_submissions_and_status_reports_are_refused_and_change_nothing() {
    let mut site = start_site(1, 1);
    let long = job(1, 1, 4000, false);
    assert_eq!(site.client.submit(site.entry(0), 1, &long).status, 200);
    wait_for("the job's task to start", WAIT_LIMIT, || {
        (site.starts(1) == 1).then_some(())
    });
    for (id, body) in (FIRST_INVALID_JOB..).zip(invalid_bodies()) {
        let start = String::from_utf8_lossy(&body[..body.len().min(60)]);
        let head = format!("POST /q/{id:016x}");
        let status = send(site.entry(0), &head, &body);
        assert_eq!(status, "400", "{start}");
        for path in ["PUT /-/workers/agent-0", "PUT /-/workers/"] {
            let status = send(site.agents[0].address, path, &body);
            assert_eq!(status, "400", "{path} {start}");
        }
    }
    assert_serving(&site, 100);
    site.wait_for_state(0, 1, "done", WAIT_LIMIT);
    assert_eq!(site.starts(1), 1);
    assert_all_alive(&mut site);
    site.assert_no_violations();
}

/// To start such a job afresh would run its tasks a second time.
#[test]
fn invalid_progress_of_a_job_starts_nothing_again() {
    let mut site = start_site(2, 1);
    let work = job(1, 1, 100, false);
    for (id, entry) in [(1, 0), (2, 1)] {
        assert_eq!(
            site.client.submit(site.entry(entry), id, &work).status,
            200
        );
        site.wait_for_state(entry, id, "done", WAIT_LIMIT);
    }
    let coordinator = site.coordinator().expect("there is a coordinator");
    site.entries[coordinator].process.kill();
    let nested = "[".repeat(50_000);
    write(&site, "figrill/out/job/0000000000000001", nested.as_bytes());
    write(
        &site,
        "figrill/out/job/0000000000000002",
        br#"{"state":"running","ended_ms":0,"tasks":{"0":[[],[]]}}"#,
    );
    write(&site, "figrill/out/ledger", b"\xff");
    site.restart_entry(coordinator).expect("the entry starts");
    assert_serving(&site, 100);
    thread::sleep(SETTLING_TIME);
    assert_eq!((site.starts(1), site.starts(2)), (1, 1));
    assert_all_alive(&mut site);
    site.assert_no_violations();
}

#[test]
fn a_refused_watch_is_not_repeated_without_a_pause() {
    // The watches of the configuration, the entries, the coordinator's inputs
    // and its key, each with a pause of 150 ms at least.
    const MAX_CALLS_PER_SECOND: u64 = 40;
    let site = start_site(1, 1);
    let store = &site.entries[0].store_endpoint;
    store.faults().refuses_watches = true;
    let watches = || store.calls().get("watch").copied().unwrap_or(0);
    let before = watches();
    thread::sleep(SETTLING_TIME);
    let calls = watches() - before;
    let limit = MAX_CALLS_PER_SECOND * SETTLING_TIME.as_secs();
    assert!(calls <= limit, "{calls} watches in {SETTLING_TIME:?}");
}

/// Entries that start later find this one by its record alone.
#[test]
fn an_entry_restores_its_record_if_another_writer_changes_it() {
    let mut site = start_site(2, 1);
    let address = read(&site, "figrill/entry/entry-0");
    for invalid in [&b"127.0.0.1:99999"[..], b"127.0.0.1:1"] {
        write(&site, "figrill/entry/entry-0", invalid);
        wait_for("the record to be restored", WAIT_LIMIT, || {
            let restored = read(&site, "figrill/entry/entry-0") == address;
            restored.then_some(())
        });
    }
    assert_serving(&site, 100);
    assert_all_alive(&mut site);
}

#[test]
fn an_invalid_record_of_a_job_is_not_shown_as_a_job() {
    let site = start_site(1, 1);
    for (id, invalid) in (300..).zip(invalid_job_records()) {
        write(&site, &format!("figrill/in/job/{id:016x}"), &invalid);
        let state = site.client.state(site.entry(0), id);
        assert_eq!(state, "503", "{}", String::from_utf8_lossy(&invalid));
    }
}

// Guards against a record that looks like that of a coordinator, but is
// attached to no lease, and that keeps all entries from the duty for good.
#[test]
fn a_record_of_the_coordinator_without_a_lease_is_replaced() {
    struct Case {
        name: &'static str,
        record: &'static str,
        /// Whether all entries are down when it is written.
        without_entries: bool,
    }
    let cases = [
        Case {
            name: "an unknown process, beside a coordinator",
            record: "entry-9 1",
            without_entries: false,
        },
        Case {
            name: "a live entry and a lease in words only",
            record: "entry-1 1 7",
            without_entries: false,
        },
        Case {
            name: "written while no entry is up",
            record: "entry-9 1 7",
            without_entries: true,
        },
    ];
    let mut site = start_site(2, 1);
    for (id, case) in (0x300..).zip(cases) {
        if case.without_entries {
            for entry in &mut site.entries {
                entry.process.kill();
            }
        }
        write(&site, "figrill/coordinator", case.record.as_bytes());
        if case.without_entries {
            for i in 0..2 {
                site.restart_entry(i).expect("the entry starts");
            }
        }
        let work = job(1, 1, 50, false);
        wait_for(case.name, WAIT_LIMIT, || {
            let answer = site.client.submit(site.entry(0), id, &work);
            (answer.status == 200).then_some(())
        });
        site.wait_for_state(0, id, "done", WAIT_LIMIT);
    }
    site.assert_no_violations();
}

// Guards against entries that take the duty from each other without end
// because a store shows no key as attached to a lease.
#[test]
fn a_store_that_shows_no_leases_keeps_its_coordinator() {
    let site = start_site(2, 1);
    for entry in &site.entries {
        entry.store_endpoint.faults().hides_leases = true;
    }
    let revision = || {
        let key = "figrill/coordinator";
        let item = site.kv.get(key, Duration::ZERO).ok().flatten();
        item.map(|i| i.revision)
    };
    let first = revision();
    for id in 0x400..0x410 {
        thread::sleep(SETTLING_TIME / 16);
        let answer =
            site.client.submit(site.entry(0), id, &job(1, 1, 50, false));
        assert_eq!(answer.status, 200);
    }
    for id in 0x400..0x410 {
        site.wait_for_state(1, id, "done", WAIT_LIMIT);
    }
    assert_eq!(revision(), first);
    site.assert_no_violations();
}
