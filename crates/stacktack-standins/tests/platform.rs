//! The platform stand-in behaves as the description of the platform says.

use std::time::Duration;

use stacktack_core::ledger::{TableOperation, TableReply};
use stacktack_core::time::Time;
use stacktack_node::client::{Machine, Role};
use stacktack_standins::platform::machines::MachineList;
use stacktack_standins::platform::rate::RateLimit;
use stacktack_standins::platform::table::Table;

const LAG: Duration = Duration::from_secs(1);

fn put(value: &str, expected: Option<stacktack_core::ledger::RowVersion>) -> TableOperation {
    TableOperation::Put {
        key: String::from("row"),
        value: value.to_string(),
        expected,
    }
}

#[test]
fn writes_are_conditional_on_the_rows_version() {
    let mut table = Table::default();
    let TableReply::Written(first) = table.apply(&put("a", None)) else {
        panic!("the first write takes effect");
    };
    assert!(
        matches!(table.apply(&put("b", None)), TableReply::Conflict(Some(row)) if row.value == "a")
    );
    let TableReply::Written(second) = table.apply(&put("c", Some(first))) else {
        panic!("a write that expects the current version takes effect");
    };
    assert!(second > first);
    assert!(matches!(
        table.apply(&put("d", Some(first))),
        TableReply::Conflict(_)
    ));
    assert_eq!(table.operation_counts(), (4, 0));
}

#[test]
fn a_rate_holds_over_time() {
    let mut limit = RateLimit::new(10.0, Time(0));
    let acquired = (0..20).filter(|_| limit.try_acquire(Time(0), 1.0)).count();
    assert_eq!(acquired, 10);
    assert!(!limit.try_acquire(Time(50_000), 1.0));
    assert!(limit.try_acquire(Time(100_000), 1.0));
}

fn machine(name: &str) -> Machine {
    let address = "127.0.0.1:1".parse().expect("an address");
    Machine {
        name: name.to_string(),
        role: Role::Agent,
        zone: String::from("a"),
        address,
        gossip: address,
        operator: address,
        incarnation: 1,
        leaving: false,
    }
}

#[test]
fn the_machine_list_lags_and_keeps_who_is_leaving() {
    let mut list = MachineList::new(LAG);
    list.register(Time(0), machine("one"));
    assert!(list.list(Time(0) + LAG / 2).is_empty());
    assert_eq!(list.list(Time(0) + LAG).len(), 1);
    assert!(list.mark_leaving(Time(0) + LAG, "one"));
    assert!(!list.list(Time(0) + LAG)[0].leaving);
    list.register(Time(0) + LAG * 2, machine("one"));
    assert!(list.list(Time(0) + LAG * 4)[0].leaving);
    assert!(!list.mark_leaving(Time(0), "two"));
}

#[test]
fn a_silent_machine_leaves_the_list() {
    let mut list = MachineList::new(LAG);
    list.register(Time(0), machine("one"));
    assert_eq!(list.list(Time(0) + LAG).len(), 1);
    let later = Time(0) + Duration::from_secs(60);
    list.list(later);
    assert!(list.list(later + LAG).is_empty());
}
