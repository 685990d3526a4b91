//! Tests that frames survive a round trip through the codec, and that no input
//! makes the decoder panic. A process must not crash on a malformed frame from
//! a peer.

use figrill_coordination::message::{
    AgentReport, JobHeader, JobRequest, MemberReport, Run, RunOutcome,
};
use figrill_protocol::{
    codec::{self, CodecError, HEADER_BYTES, MAX_FRAME_BYTES},
    message::{Frame, Message},
};
use figrill_state::{
    error::Kind,
    event::Stamp,
    job::{Adjacency, Answer, Attempt, Class, Job, JobId, PartAnswer, Shape},
};
use proptest::prelude::*;

fn frame(message: Message) -> Frame {
    Frame {
        stamp: Stamp { ms: 7, count: 3 },
        message,
    }
}

#[test]
fn messages_round_trip() {
    let run = Run {
        job: JobId(u128::MAX),
        attempt: Attempt::new(9, 4),
    };
    let job_header = figrill_coordination::message::JobHeader {
        workspace: "ā".to_owned(),
        service: String::new(),
        shape: Shape {
            parts: 128,
            accelerators: 8,
            memory_mib: 1,
            adjacency: Adjacency::Rack,
        },
        class: Class::Urgent,
        repeatable: false,
        recorded: true,
        band: figrill_coordination::message::Band::Borrowed,
    };
    let outcome = RunOutcome::Done(Answer {
        attempt: run.attempt,
        parts: vec![PartAnswer {
            rank: 0,
            bytes: vec![0, 255],
        }],
    });
    let outcomes: Vec<(Run, JobHeader, RunOutcome)> = Kind::ALL
        .iter()
        .map(|kind| (run, job_header.clone(), RunOutcome::NotStarted(*kind)))
        .chain([(run, job_header.clone(), outcome)])
        .collect();
    let messages = [
        Message::SettingsRequest,
        Message::StandbyJobs(vec![run.job]),
        Message::MemberReport {
            run,
            report: MemberReport::Stopped {
                rank: 1,
                checkpoint: None,
            },
        },
        Message::AgentReport(AgentReport::Full {
            term: 1,
            worker: figrill_state::worker::Worker {
                name: "w".to_owned(),
                incarnation: 1,
                address: "a".to_owned(),
                place: figrill_state::worker::Place {
                    failure_domain: "d".to_owned(),
                    rack: "r".to_owned(),
                },
                capacity: figrill_state::worker::Capacity::default(),
            },
            grants: Vec::new(),
            outcomes,
        }),
    ];
    for message in messages {
        let buf = codec::encode(frame(message.clone()))
            .expect("message fits into a frame");
        assert_eq!(codec::decode(&buf), Ok(frame(message)));
    }
}

#[test]
fn oversized_frames_are_rejected() {
    let message = Message::Settings(vec![0; MAX_FRAME_BYTES + 1]);
    let result = codec::encode(frame(message));
    assert!(matches!(result, Err(CodecError::TooLarge(_))));
    let frame_header = u32::MAX.to_be_bytes();
    assert!(matches!(
        codec::payload_length(frame_header),
        Err(CodecError::TooLarge(_))
    ));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn decoding_arbitrary_bytes_never_panics(
        body in prop::collection::vec(any::<u8>(), 0..300)
    ) {
        let length = u32::try_from(body.len())
            .expect("length fits into u32")
            .to_be_bytes();
        let buf = [&length[..], &body[..]].concat();
        let _ = codec::decode(&buf);
        // Without the valid header, the body's first bytes are taken as one.
        let _ = codec::decode(&body);
    }

    #[test]
    fn decoding_a_corrupted_frame_never_panics(
        offset in 0_usize..200,
        byte in any::<u8>()
    ) {
        let job = Job {
            id: JobId(1),
            workspace: "w".to_owned(),
            service: "s".to_owned(),
            shape: Shape {
                parts: 2,
                accelerators: 1,
                memory_mib: 0,
                adjacency: Adjacency::None,
            },
            declared: None,
            deadline: None,
            class: Class::Normal,
            repeatable: true,
            record: Some(3),
            inputs: vec![vec![1; 40], vec![2; 40]],
        };
        let request = JobRequest::Submit {
            job: Box::new(job),
            age: std::time::Duration::ZERO,
            maybe_started: false,
        };
        let message = Message::JobRequest(request);
        let mut buf =
            codec::encode(frame(message)).expect("message fits into a frame");
        // The header stays intact, so that the payload is decoded.
        let index = HEADER_BYTES + offset % (buf.len() - HEADER_BYTES);
        buf[index] = byte;
        let _ = codec::decode(&buf);
    }
}
