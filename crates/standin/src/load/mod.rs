//! Load generator: simulated clients that send open-loop load at a configured rate, retry failed
//! attempts and verify every response.

mod account;
mod attempt;
mod call_kind;
mod profile;
mod record;
mod request;

use std::fs::File;
use std::io::BufWriter;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use tokio::sync::Semaphore;
use tokio::time::Instant;

pub use account::{ClassCounts, Counts, Latencies, SecondLine, Summary};
pub use call_kind::CallKind;
pub use profile::{Phase, Profile};
pub use record::{Outcome, RequestRecord};

use account::LoadStatistics;
use attempt::NodeClient;
use record::Recorder;
use request::{Clients, RetryPolicy};

/// Sends calls to nodes at a stated rate and checks every answer.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadArguments {
    /// callers' address of a node (or a back end, for comparison); may be given several times
    #[argh(option)]
    pub entry: Vec<SocketAddr>,
    /// what is called: fields like service=topup,class=critical,share=2,keyed=yes,body=200,
    /// answer=500,timeout_ms=1000,pace_ms=0 joined by commas; may be given several times
    #[argh(option)]
    pub call: Vec<CallKind>,
    /// seconds and requests a second of each phase, such as 10:200,5:800,10:200
    #[argh(option)]
    pub profile: Profile,
    /// attempts of one request, the first included (default 3)
    #[argh(option, default = "3")]
    pub attempts: u32,
    /// pause before the first repeat in milliseconds, doubled each time (default 100)
    #[argh(option, default = "100")]
    pub backoff_ms: u64,
    /// wait as long as a refusal says before a repeat
    #[argh(switch)]
    pub honour_retry_after: bool,
    /// time in milliseconds after which an answer is no longer useful (default 3000)
    #[argh(option, default = "3000")]
    pub patience_ms: u64,
    /// requests in progress at once; further ones are counted as not sent (default 4000)
    #[argh(option, default = "4000")]
    pub max_outstanding: usize,
    /// beginning of every request's name (default load)
    #[argh(option, default = "String::from(\"load\")")]
    pub name: String,
    /// seed of arrivals and choices (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// file to which the outcome of every request is written as JSON lines
    #[argh(option)]
    pub record: Option<PathBuf>,
}

/// Generates the load of the whole profile and prints the summary.
pub fn run(arguments: LoadArguments) -> anyhow::Result<()> {
    anyhow::ensure!(!arguments.entry.is_empty(), "give at least one --entry");
    anyhow::ensure!(!arguments.call.is_empty(), "give at least one --call");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(generate_load(arguments))
}

const WORKER_THREADS: usize = 2;
/// Time beyond the clients' patience for which the process waits for outstanding responses after
/// the last arrival.
const FINAL_RESPONSE_WAIT: Duration = Duration::from_secs(1);

async fn generate_load(arguments: LoadArguments) -> anyhow::Result<()> {
    let patience = Duration::from_millis(arguments.patience_ms);
    let clients = Arc::new(Clients {
        node_client: NodeClient::new(arguments.entry.clone()),
        retries: RetryPolicy::from_arguments(&arguments),
        patience,
        statistics: LoadStatistics::new(),
        recorder: open_recorder(&arguments)?,
    });
    let printer = tokio::spawn(account::print_seconds(Arc::clone(&clients)));
    let outstanding = Arc::new(Semaphore::new(arguments.max_outstanding));
    let mut generator = Arrivals::new(&arguments);
    while let Some(arrival) = generator.next() {
        tokio::time::sleep_until(arrival.at).await;
        let kind = arguments.call[arrival.kind].clone();
        let Ok(permit) = Arc::clone(&outstanding).try_acquire_owned() else {
            clients.statistics.count_not_sent();
            continue;
        };
        let clients = Arc::clone(&clients);
        tokio::spawn(async move {
            clients.make_request(arrival.name, kind, arrival.seed).await;
            drop(permit);
        });
    }
    let all_permits = u32::try_from(arguments.max_outstanding)?;
    let _ = tokio::time::timeout(
        patience + FINAL_RESPONSE_WAIT,
        outstanding.acquire_many(all_permits),
    )
    .await;
    printer.abort();
    clients.recorder.flush()?;
    account::print_summary(&clients)
}

fn open_recorder(arguments: &LoadArguments) -> anyhow::Result<Recorder> {
    let file = arguments.record.as_ref().map(File::create).transpose()?;
    Ok(Recorder::new(file.map(BufWriter::new)))
}

/// A request and the time at which it is to be sent.
struct Arrival {
    at: Instant,
    name: String,
    kind: usize,
    seed: u64,
}

/// Generator of Poisson arrivals at the rates of a profile.
struct Arrivals {
    generator: ChaCha8Rng,
    profile: Profile,
    shares: Vec<f64>,
    prefix: String,
    started: Instant,
    elapsed: f64,
    count: u64,
}

impl Arrivals {
    fn new(arguments: &LoadArguments) -> Self {
        Arrivals {
            generator: ChaCha8Rng::seed_from_u64(arguments.seed),
            profile: arguments.profile.clone(),
            shares: arguments.call.iter().map(|kind| kind.share).collect(),
            prefix: arguments.name.clone(),
            started: Instant::now(),
            elapsed: 0.0,
            count: 0,
        }
    }

    fn next(&mut self) -> Option<Arrival> {
        let rate = self.profile.rate_at(self.elapsed)?;
        let gap: f64 = Exp1.sample(&mut self.generator);
        self.elapsed += gap / rate;
        self.profile.rate_at(self.elapsed)?;
        self.count += 1;
        Some(Arrival {
            at: self.started + Duration::from_secs_f64(self.elapsed),
            name: format!("{}-{}", self.prefix, self.count),
            kind: self.choose_kind(),
            seed: self.generator.random(),
        })
    }

    fn choose_kind(&mut self) -> usize {
        let total: f64 = self.shares.iter().sum();
        let mut position = self.generator.random::<f64>() * total;
        for (index, share) in self.shares.iter().enumerate() {
            if position < *share {
                return index;
            }
            position -= share;
        }
        self.shares.len() - 1
    }
}
