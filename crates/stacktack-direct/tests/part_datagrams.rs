//! Circumstances of crashes under prompt parts must arrive whatever else a datagram has, and must not
//! disturb releases that do not know them.

#[path = "common/steady_peer.rs"]
mod steady_peer;

use std::net::SocketAddr;

use stacktack_core::direct::peers::peer_gossip::{PeerGossip, RecoveryGossip, ShortId};
use stacktack_core::direct::peers::source_age::{SourceAges, SourceReads};
use stacktack_core::direct::peers::MAX_DATAGRAM_BYTES;
use stacktack_core::direct::quarantine::digest::SuspectDigest;
use stacktack_core::direct::quarantine::part_context::PartContext;
use stacktack_core::direct::quarantine::record::RecordGossip;
use stacktack_core::direct::quarantine::suspects::CallerHash;
use stacktack_core::direct::stream_versions::software_version::SoftwareVersion;
use stacktack_core::direct::work::gossip::TenantWorkGossip;
use stacktack_core::time::Time;
use stacktack_direct::datagram::{
    decode, encode_with, encode_with_work, OptionalContent, WorkGossip,
};

use steady_peer::steady_peer_gossip;

fn gossip() -> PeerGossip {
    steady_peer_gossip(SocketAddr::from(([127, 0, 0, 1], 10)), 3, 4)
}

fn record(number: u64, part: Option<PartContext>) -> RecordGossip {
    RecordGossip {
        digest: SuspectDigest::of_part("m", number),
        epoch: 1,
        crashes: Vec::new(),
        probation_crashes: Vec::new(),
        set_aside: true,
        stored: false,
        part,
    }
}

fn context(companions: u64) -> PartContext {
    let version = SoftwareVersion {
        service: "m".to_owned(),
        version: "v1".to_owned(),
    };
    let companions = (0..companions).map(|part| SuspectDigest::of_part("m", 100 + part));
    PartContext::of_crash(CallerHash::of("one"), companions.collect(), version.hash())
}

fn encoded(records: &[RecordGossip], work: &WorkGossip) -> Vec<u8> {
    let (ages, reads) = (SourceAges::default(), SourceReads::default());
    encode_with_work(&gossip(), records, &ages, &reads, &[], work).expect("a datagram")
}

#[test]
fn circumstances_arrive_at_their_records_with_and_without_work() {
    let records = [
        record(1, None),
        record(2, Some(context(0))),
        record(3, Some(context(3))),
    ];
    let work = WorkGossip {
        backlogs: Vec::new(),
        tenants: vec![TenantWorkGossip {
            tenant: [7, 8, 9],
            work_ms_per_second: 420,
        }],
    };
    for work in [WorkGossip::default(), work] {
        let datagram = decode(&encoded(&records, &work)).expect("valid");
        assert_eq!(datagram.records, records);
        assert_eq!(datagram.work, work);
    }
}

#[test]
fn records_are_encoded_as_releases_that_know_no_circumstances_encode_them() {
    let without = encoded(&[record(1, None)], &WorkGossip::default());
    let with = encoded(&[record(1, Some(context(3)))], &WorkGossip::default());
    println!("circumstances: {} bytes", with.len() - without.len());
    assert!(with.starts_with(&without) && with.len() <= MAX_DATAGRAM_BYTES);
}

#[test]
fn recoveries_of_back_ends_arrive_with_and_without_what_stands_before_them() {
    let (ages, reads) = (SourceAges::default(), SourceReads::default());
    let now = Time(10_000_000);
    let back_end = ShortId([1, 2, 3]);
    let recoveries = [RecoveryGossip::new(back_end, Time(9_000_000), now).expect("recent")];
    let no_work = WorkGossip::default();
    let content = OptionalContent {
        rollouts: &[],
        work: &no_work,
        recoveries: &recoveries,
    };
    for records in [vec![], vec![record(2, Some(context(0)))]] {
        let bytes = encode_with(&gossip(), &records, &ages, &reads, &content).expect("a datagram");
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        let datagram = decode(&bytes).expect("decodes");
        assert_eq!(datagram.records.len(), records.len());
        assert_eq!(datagram.recoveries, recoveries);
        assert_eq!(datagram.recoveries[0].served_at(now), Time(9_000_000));
    }
    let without = encoded(&[], &no_work);
    assert!(decode(&without).expect("decodes").recoveries.is_empty());
}
