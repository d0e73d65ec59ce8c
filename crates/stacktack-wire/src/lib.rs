//! Messages between stacktack's own processes, and their codecs.
//!
//! On the traffic path, routers and agents exchange frames over TCP ([`codec`]);
//! on the control path, all processes exchange UDP datagrams ([`gossip`]). Both
//! carry `postcard` bodies. The types here hold no logic beyond encoding.

pub mod codec;
pub mod gossip;
pub mod identity;
pub mod message;
