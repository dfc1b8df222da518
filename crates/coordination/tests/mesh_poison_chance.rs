//! Measures how often harmless requests are blocked and how many servers a poison request crashes,
//! by the rate at which servers crash for other reasons and by the number of concurrent runs.
//!
//! Simulates one service of eight servers. All nodes share one set of evidence, because reports
//! spread within milliseconds. `cargo test -p lifthollow-coordination --test mesh_poison_chance --
//! --nocapture` prints the table that `docs/design/poison-requests.md` shows.

use std::time::Duration;

use lifthollow_coordination::inbound::InboundId;
use lifthollow_coordination::mesh::poison::content::{CallerContent, ContentFingerprint};
use lifthollow_coordination::mesh::poison::recent_contents::RecentContents;
use lifthollow_coordination::mesh::poison::server_runs::ServerRuns;
use lifthollow_coordination::mesh::poison::suspects::{RunDecision, Suspects};
use lifthollow_state::mesh::InstanceId;
use lifthollow_state::{ServiceName, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVERS: usize = 8;
const TIME_STEP: Duration = Duration::from_millis(10);
const SIMULATED_TIME: Duration = Duration::from_secs(600);
/// Duration of a run of a harmless request.
const RUN_TIME: Duration = Duration::from_millis(500);
/// Time from the start of a poison request to the crash of its server.
const POISON_CRASH_DELAY: Duration = Duration::from_millis(40);
/// Time from the crash of a server until its replacement accepts requests.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Maximum number of attempts for a harmless request that is lost in a crash, counting those by its
/// caller's node and by its caller.
const MAX_ATTEMPTS: u32 = 4;
/// Number of frequent contents, which half of the requests share; each other request has a content
/// of its own.
const FREQUENT_CONTENTS: u128 = 20;
/// Interval at which the poison request is sent.
const POISON_INTERVAL: Duration = Duration::from_millis(100);
const POISON: u128 = u128::MAX;

struct Run {
    id: InboundId,
    content: u128,
    server: usize,
    ends: Timestamp,
    attempts: u32,
}

struct Server {
    id: InstanceId,
    runs: ServerRuns,
    back: Timestamp,
}

struct Fleet {
    random: ChaCha8Rng,
    now: Timestamp,
    servers: Vec<Server>,
    running: Vec<Run>,
    lost: Vec<(u128, u32)>,
    suspects: Suspects,
    served: RecentContents,
    starts: u64,
    sent: u64,
    refused: u64,
    crashes: u64,
}

fn request(content: u128) -> CallerContent {
    CallerContent {
        content: ContentFingerprint(content),
        caller: ServiceName::new("feeds"),
    }
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let mut fleet = Fleet {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Timestamp::from_micros(60_000_000),
            servers: Vec::new(),
            running: Vec::new(),
            lost: Vec::new(),
            suspects: Suspects::default(),
            served: RecentContents::default(),
            starts: 0,
            sent: 0,
            refused: 0,
            crashes: 0,
        };
        for _ in 0..SERVERS {
            let server = fleet.new_server();
            fleet.servers.push(server);
        }
        fleet
    }

    fn new_server(&mut self) -> Server {
        self.starts += 1;
        Server {
            id: InstanceId::new(&format!("server-{}", self.starts)),
            runs: ServerRuns::default(),
            back: self.now,
        }
    }

    fn send(&mut self, content: u128, attempts: u32) {
        let decision = self.suspects.decision(self.now, &request(content));
        if decision != RunDecision::Admitted {
            self.refused += u64::from(content != POISON);
            return;
        }
        let up: Vec<usize> = (0..SERVERS)
            .filter(|one| self.servers[*one].back <= self.now)
            .collect();
        if up.is_empty() {
            return;
        }
        let server = up[self.random.random_range(0..up.len())];
        self.sent += 1;
        let id = InboundId(self.sent);
        let target = &mut self.servers[server];
        target.runs.started(id, request(content), &target.id);
        let run_time = if content == POISON {
            POISON_CRASH_DELAY
        } else {
            RUN_TIME
        };
        self.running.push(Run {
            id,
            content,
            server,
            ends: self.now + run_time,
            attempts,
        });
    }

    fn crash(&mut self, server: usize) {
        let now = self.now;
        let target = &mut self.servers[server];
        let contents = target.runs.take_suspected_contents(now, &target.id);
        self.crashes += 1;
        self.suspects
            .record_crash(now, &contents, &self.servers[server].id);
        for content in &contents {
            if let Some(served) = self.served.last_successful_run(now, content) {
                self.suspects.record_successful_run(served, content);
            }
        }
        let (lost, kept) = self
            .running
            .drain(..)
            .partition(|run: &Run| run.server == server);
        self.running = kept;
        self.lost.extend(
            lost.into_iter()
                .map(|run: Run| (run.content, run.attempts + 1)),
        );
        self.servers[server] = self.new_server();
        self.servers[server].back = now + RESTART_TIME;
    }

    fn step(&mut self) {
        self.now = self.now + TIME_STEP;
        for (content, attempts) in std::mem::take(&mut self.lost) {
            // The poison request is retried once; it is sent anew at a fixed interval anyway.
            let max_attempts = if content == POISON { 2 } else { MAX_ATTEMPTS };
            if attempts < max_attempts {
                self.send(content, attempts);
            }
        }
        while let Some(index) = self.running.iter().position(|run| run.ends <= self.now) {
            if self.running[index].content == POISON {
                self.crash(self.running[index].server);
                continue;
            }
            let run = self.running.swap_remove(index);
            let content = self.servers[run.server].runs.ended(self.now, run.id, true);
            if let Some(content) = content {
                self.suspects.record_successful_run(self.now, &content);
                self.served.record_successful_run(self.now, content);
            }
        }
    }
}

/// Result of a simulation: the share of harmless requests that were refused, of all requests, and
/// the number of crashes.
struct Outcome {
    refused: f64,
    crashes: u64,
}

/// Simulates ten minutes with about `concurrent_runs` concurrent runs on each server. Each server
/// crashes `crashes_per_minute` times a minute on average for other reasons than the poison
/// request, and all servers crash at once twice if `power_losses`.
fn simulate(
    seed: u64,
    concurrent_runs: f64,
    crashes_per_minute: f64,
    power_losses: bool,
    has_poison: bool,
) -> Outcome {
    let mut fleet = Fleet::new(seed);
    let steps = SIMULATED_TIME.as_millis() / TIME_STEP.as_millis();
    let arrivals =
        concurrent_runs * SERVERS as f64 * TIME_STEP.as_secs_f64() / RUN_TIME.as_secs_f64();
    let crash_chance = crashes_per_minute / 60.0 * TIME_STEP.as_secs_f64();
    let (mut due, mut own_content) = (0.0, 1_000_000);
    for step in 0..steps {
        fleet.step();
        due += arrivals;
        while due >= 1.0 {
            due -= 1.0;
            own_content += 1;
            let is_frequent = fleet.random.random::<bool>();
            let frequent = fleet.random.random_range(0..FREQUENT_CONTENTS);
            fleet.send(if is_frequent { frequent } else { own_content }, 0);
        }
        if has_poison && step.is_multiple_of(POISON_INTERVAL.as_millis() / TIME_STEP.as_millis()) {
            fleet.send(POISON, 0);
        }
        let is_power_loss = power_losses && (step == steps / 3 || step == steps / 2);
        for server in 0..SERVERS {
            let is_up = fleet.servers[server].back <= fleet.now;
            if is_up && (is_power_loss || fleet.random.random::<f64>() < crash_chance) {
                fleet.crash(server);
            }
        }
    }
    Outcome {
        refused: fleet.refused as f64 / (fleet.refused + fleet.sent) as f64,
        crashes: fleet.crashes,
    }
}

#[test]
fn harmless_requests_are_rarely_blocked_and_poison_ends_few_servers() {
    println!(
        "side by side | crashes a minute and server | power losses | refused | with such a request | crashes of it"
    );
    for concurrent_runs in [1.0, 10.0, 100.0] {
        for (crashes, power_losses) in [(0.0, false), (0.1, false), (1.0, true), (6.0, true)] {
            let alone = simulate(1, concurrent_runs, crashes, power_losses, false);
            let beside = simulate(1, concurrent_runs, crashes, power_losses, true);
            let poison_crashes = beside.crashes.saturating_sub(alone.crashes);
            println!(
                "{concurrent_runs} | {crashes} | {power_losses} | {:.1e} | {:.1e} | {poison_crashes}",
                alone.refused, beside.refused
            );
            assert!(
                alone.refused <= 1e-3,
                "{} of harmless requests refused",
                alone.refused
            );
            assert!(
                beside.refused <= 1e-2,
                "{} of harmless requests refused beside the poison request",
                beside.refused
            );
            if crashes == 0.0 {
                assert!(
                    poison_crashes <= 8,
                    "the poison request crashed {poison_crashes} servers"
                );
            }
        }
    }
}
