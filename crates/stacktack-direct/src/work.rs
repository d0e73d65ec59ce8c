//! Work of requests in pools whose engines are bound by prompts: estimates for the candidates of a
//! request, and what is learned from its response.

use std::time::Duration;

use stacktack_core::configuration::selector::{matches_all, Requirement};
use stacktack_core::direct::back_ends::back_end::BackEnd;
use stacktack_core::direct::choice::prompt::PromptChain;
use stacktack_core::direct::choice::select::likely_holder;
use stacktack_core::direct::work::back_end_work::{FirstEvent, SentWork};
use stacktack_core::direct::work::backlog::{BacklogEstimate, PoolBacklog, SendId};
use stacktack_core::direct::work::engine_pool::EnginePool;
use stacktack_core::direct::work::known_parts::PromptLookup;
use stacktack_core::direct::work::pool_work::PoolWork;
use stacktack_core::direct::work::request_work::RequestWork;
use stacktack_core::direct::work::speed::RelativeDuration;
use stacktack_core::time::Time;

use crate::ports::CallerRequest;
use crate::router::{pool_name, Router};

/// Work of a request at one candidate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CandidateWork {
    /// Work ahead of the request.
    pub backlog: BacklogEstimate,
    /// Time to read the prompt there, at the speed of the candidate.
    pub reading: Duration,
    /// Tokens to read, as far as this router knows, and to write.
    pub work: RequestWork,
    /// Relative duration of work there.
    pub speed: RelativeDuration,
    /// Tokens among those to read that other routers may have had read there.
    pub unknown_tokens: u32,
    /// Whether the candidate is the home of the prompt.
    pub at_home: bool,
    /// Time until the first event beyond backlog and reading.
    pub fixed: Duration,
    /// Traffic of the pool as it is believed.
    pub traffic: BelievedTraffic,
}

/// What a router believes about the requests of all routers to a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BelievedTraffic {
    /// This router's share of the requests, from 0 to 1.
    pub own_share: f64,
    /// Seconds of work per second that the other routers send to the mean member.
    pub peer_inflow: f64,
}

impl CandidateWork {
    /// Time until the candidate sends the first event.
    pub fn first_event_after(&self) -> Duration {
        self.backlog.time + self.reading + self.fixed
    }

    /// The work as it is counted for a request that is sent.
    pub fn sent(&self) -> SentWork {
        SentWork {
            work: self.work,
            reading: self.reading,
            backlog: self.backlog.time,
            unknown_tokens: self.unknown_tokens,
            at_home: self.at_home,
            may_skip_reading: false,
        }
    }

    /// Fields of the choice's log line; times in milliseconds.
    pub(crate) fn log_fields(&self) -> String {
        let age = self.backlog.age;
        let age = age.map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string());
        format!(
            "backlog_ms={} backlog_age_ms={age} reading_ms={} unread={} work_time={:.2} own_share={:.3} peer_inflow={:.2}",
            self.backlog.time.as_millis(),
            self.reading.as_millis(),
            self.work.unread_tokens,
            self.speed.0,
            self.traffic.own_share,
            self.traffic.peer_inflow,
        )
    }
}

/// A request that is counted at its back end until its first event.
#[derive(Debug)]
pub struct CountedSend {
    id: SendId,
    sent: SentWork,
    /// Ids of the parts of the prompt that were not known at the back end.
    new_parts: Vec<u64>,
    at: Time,
}

/// A prompt at the back ends of its pool.
struct PromptEstimates<'a> {
    lookup: PromptLookup<'a>,
    /// Tokens that an engine of the pool keeps: no prompt that it can run has more.
    cache_tokens: u32,
    /// Tokens of the last part, which no other request has.
    own_tokens: u32,
    /// Hash of the id of the home.
    home: Option<u64>,
    output_tokens: u32,
    pool: &'a PoolWork,
    pool_backlog: PoolBacklog,
    traffic: BelievedTraffic,
    now: Time,
}

impl PromptEstimates<'_> {
    fn at(&self, member: &BackEnd) -> CandidateWork {
        let unread_tokens = self.lookup.unread_tokens(member.id_hash);
        let unread_tokens = unread_tokens.min(self.cache_tokens);
        let unknown_tokens = unread_tokens.saturating_sub(self.own_tokens);
        let at_home = self.home == Some(member.id_hash);
        let known_for = member.work.known_for(self.now);
        let read_share = self.pool.peer_reads(at_home).probability(known_for);
        let expected_read = (f64::from(unknown_tokens) * read_share) as u32;
        let speed = member.work.speed.relative(&self.pool.speed, self.now);
        let usual = self.pool.rates.reading_time(unread_tokens - expected_read);
        CandidateWork {
            backlog: member.work.backlog.estimate(&self.pool_backlog, self.now),
            reading: speed.apply(usual),
            work: RequestWork {
                unread_tokens,
                output_tokens: self.output_tokens,
            },
            speed,
            unknown_tokens,
            at_home,
            fixed: self.pool.rates.fixed_time(),
            traffic: self.traffic,
        }
    }
}

impl Router {
    /// Tokens that an engine of a pool keeps; `None` if the pool does not count work.
    fn cache_tokens(&self, pool: &[Requirement]) -> Option<u32> {
        let configuration = self.configuration.borrow();
        let engine_pools = &configuration.as_ref()?.engine_pools;
        let engines = EnginePool::prompt_bound(engine_pools, pool)?;
        Some(engines.cache_tokens)
    }

    /// Whether work is counted in a pool.
    pub(crate) fn counts_work(&self, pool: &[Requirement]) -> bool {
        self.cache_tokens(pool).is_some()
    }

    /// Whether work is counted in some pool.
    pub(crate) fn counts_any_work(&self) -> bool {
        let configuration = self.configuration.borrow();
        configuration.as_ref().is_some_and(|configuration| {
            let mut pools = configuration.engine_pools.iter();
            pools.any(EnginePool::is_prompt_bound)
        })
    }

    /// Work of a request at each of these members of its pool, its candidates; empty if the pool
    /// does not count work.
    pub fn estimate_work(
        &self,
        pool: &[Requirement],
        request: &CallerRequest,
        ids: &[String],
    ) -> Vec<CandidateWork> {
        let Some(cache_tokens) = self.cache_tokens(pool) else {
            return Vec::new();
        };
        let now = self.now();
        let back_ends = self.back_ends.borrow();
        let candidates: Vec<&BackEnd> = ids.iter().filter_map(|id| back_ends.get(id)).collect();
        // Candidates lack the members that were tried and those of another version.
        let members = back_ends
            .iter()
            .filter(|member| matches_all(pool, &member.entry.labels))
            .count();
        let own_share = self.own_share(pool_name(pool));
        let mut pools = self.pool_work.borrow_mut();
        let pool = pools.entry(pool_name(pool).to_owned()).or_default();
        let known_parts = self.known_parts.borrow();
        pool.inflow.advance(own_share, members, now);
        let inflow = pool.inflow.rate_of_peers(own_share, members);
        let expected = pool.inflow.backlog();
        let backlogs = candidates.iter().map(|member| &member.work.backlog);
        let part = request.prompt.affinity_part();
        let home = part.and_then(|part| likely_holder(candidates.iter().copied(), part.id, ""));
        let shared_tokens = request.prompt.shared_tokens();
        let estimates = PromptEstimates {
            lookup: known_parts.lookup(&request.prompt),
            cache_tokens,
            own_tokens: request.prompt.tokens().saturating_sub(shared_tokens),
            home: home.map(|home| home.id_hash),
            output_tokens: request.output_tokens.unwrap_or(0),
            pool,
            pool_backlog: PoolBacklog::of(backlogs, expected, inflow, now),
            traffic: BelievedTraffic {
                own_share,
                peer_inflow: inflow,
            },
            now,
        };
        candidates
            .iter()
            .map(|member| estimates.at(member))
            .collect()
    }

    /// Counts a request at its back end.
    pub fn begin_work(
        &self,
        back_end: &str,
        pool: &str,
        sent: SentWork,
        prompt: &PromptChain,
    ) -> Option<CountedSend> {
        let now = self.now();
        let mut back_ends = self.back_ends.borrow_mut();
        let known = back_ends.get_mut(back_end)?;
        let id = known.work.backlog.on_send(sent.reading, now);
        let mut known_parts = self.known_parts.borrow_mut();
        let new_parts = known_parts.record(prompt, known.id_hash, now);
        let mut pools = self.pool_work.borrow_mut();
        let pool = pools.entry(pool.to_owned()).or_default();
        pool.on_send(sent.reading);
        Some(CountedSend {
            id,
            sent,
            new_parts,
            at: now,
        })
    }

    /// Learns from the first event of a counted request.
    pub fn on_first_event(
        &self,
        back_end: &mut BackEnd,
        pool: &str,
        send: &CountedSend,
        event: &FirstEvent,
    ) {
        let mut pools = self.pool_work.borrow_mut();
        let pool = pools.entry(pool.to_owned()).or_default();
        let error = back_end
            .work
            .on_first_event(send.id, &send.sent, event, pool);
        self.metrics.record_prediction_error(error);
        log::debug!(
            target: "work",
            "back_end={} first_event_ms={} late_ms={:.0} waiting={}",
            back_end.entry.id,
            event.after.as_millis(),
            error * 1000.0,
            event.waiting.map_or_else(|| "-".to_owned(), |waiting| waiting.to_string()),
        );
    }

    /// Removes a counted request that ended before its first event.
    pub fn end_unread(&self, back_end: &mut BackEnd, send: &CountedSend) {
        back_end.work.backlog.remove(send.id);
        let mut known_parts = self.known_parts.borrow_mut();
        known_parts.on_unread(&send.new_parts, back_end.id_hash, send.at);
    }
}
