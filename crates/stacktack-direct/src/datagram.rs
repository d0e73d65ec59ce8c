//! Datagrams between routers: news, then records of the quarantine. Routers that do not know the
//! second part leave it unread, and it is absent in what they send.

use stacktack_core::direct::peers::peer_news::PeerNews;
use stacktack_core::direct::peers::MAXIMUM_DATAGRAM;
use stacktack_core::direct::quarantine::record::RecordNews;

/// What a datagram holds.
#[derive(Debug)]
pub struct Datagram {
    /// News of the sender.
    pub news: PeerNews,
    /// What it knows of requests that end back ends.
    pub records: Vec<RecordNews>,
}

/// Bytes of a datagram; with fewer records where it would be too large.
pub fn encode(news: &PeerNews, records: &[RecordNews]) -> Result<Vec<u8>, postcard::Error> {
    let bytes = postcard::to_allocvec(news)?;
    for count in (1..=records.len()).rev() {
        let more = postcard::to_allocvec(&records[..count])?;
        if bytes.len() + more.len() <= MAXIMUM_DATAGRAM {
            return Ok([bytes, more].concat());
        }
    }
    Ok(bytes)
}

/// Reads a datagram.
pub fn decode(bytes: &[u8]) -> Result<Datagram, postcard::Error> {
    let (news, rest) = postcard::take_from_bytes::<PeerNews>(bytes)?;
    let records = if rest.is_empty() {
        Vec::new()
    } else {
        postcard::from_bytes(rest)?
    };
    Ok(Datagram { news, records })
}
