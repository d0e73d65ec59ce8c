//! Pools and addresses of fleets on virtual time.

use std::net::{Ipv4Addr, SocketAddr};

use stacktack_core::configuration::selector::Requirement;

/// Requirements on the members of the pool of a service.
pub fn pool_of(service: &str) -> Vec<Requirement> {
    vec![Requirement {
        key: "service".to_owned(),
        equals: Some(service.to_owned()),
        not_equals: None,
        one_of: None,
        not_in: None,
        exists: None,
    }]
}

/// Address at which a router hears its peers.
pub fn address_of(number: usize) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 1, high, low), 7340))
}
