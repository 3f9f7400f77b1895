//! Seeded exchanges in which an upload, the response to it and the end of the connection overlap.
//!
//! `SEEDS=FIRST..END` selects other seeds than the ones of CI.

use std::{cell::Cell, env, net::SocketAddr, rc::Rc, time::Duration};

use bronzelb_emulator::server::read_head;
use bronzelb_kernel::{clock::TimeBudget, config::HttpMethod};
use bytes::Bytes;
use futures::{StreamExt, stream};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    io::{self, AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time,
};

use crate::forwarder_harness::{ForwarderHarness, USERS_DIALECT};

const DEADLINE: TimeBudget = TimeBudget::from_secs(20);
const DEFAULT_SEEDS: &str = "0..200";
const CONCURRENT_EXCHANGES: usize = 8;
const MAX_UPLOAD_BYTES: usize = 12 * 1024 * 1024;
const MAX_BODY_BYTES: usize = 200_000;
const MAX_PAUSE_MS: u64 = 4;
const MAX_PIECES: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    None,
    Length,
    Chunked,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Close,
    Reset,
    HalfClose,
    KeepOpen,
}

/// What the server does with one request.
#[derive(Clone, Debug)]
struct ExchangePlan {
    upload_bytes: usize,
    /// Bytes of the upload that the server reads before it responds.
    read_bytes: usize,
    body: Vec<u8>,
    framing: Framing,
    /// Bytes of the body that the server sends.
    sent_bytes: usize,
    pieces: usize,
    pause: Duration,
    ending: Ending,
}

impl ExchangePlan {
    fn from_seed(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let upload_bytes = rng.random_range(0..=MAX_UPLOAD_BYTES) >> rng.random_range(0..8);
        let body_bytes = rng.random_range(1..=MAX_BODY_BYTES) >> rng.random_range(0..12);
        let body: Vec<u8> = (0..body_bytes.max(1)).map(|_| rng.random()).collect();
        let read_bytes = match rng.random_range(0..3) {
            0 => 0,
            1 => upload_bytes,
            _ => rng.random_range(0..=upload_bytes),
        };
        let framings = [Framing::None, Framing::Length, Framing::Chunked];
        let endings = [
            Ending::Close,
            Ending::Reset,
            Ending::HalfClose,
            Ending::KeepOpen,
        ];
        Self {
            upload_bytes,
            read_bytes,
            sent_bytes: match rng.random_bool(0.5) {
                true => body.len(),
                false => rng.random_range(0..body.len()),
            },
            body,
            framing: framings[rng.random_range(0..framings.len())],
            pieces: rng.random_range(1..=MAX_PIECES),
            pause: Duration::from_millis(rng.random_range(0..=MAX_PAUSE_MS)),
            ending: endings[rng.random_range(0..endings.len())],
        }
    }

    fn is_whole(&self) -> bool {
        self.sent_bytes == self.body.len()
    }

    /// Returns whether the caller must get the response.
    fn must_be_forwarded(&self) -> bool {
        let ends = self.framing != Framing::None || self.ending == Ending::HalfClose;
        // A reset may discard what the client has not received.
        self.is_whole() && ends && matches!(self.ending, Ending::HalfClose | Ending::KeepOpen)
    }

    /// Returns whether the caller may get what was sent, if the server has read `taken` bytes of
    /// the upload.
    fn may_be_forwarded(&self, taken: usize) -> bool {
        if self.framing != Framing::None {
            return self.is_whole();
        }
        // Without a length, what ends cleanly is whole.
        let is_read = taken == self.upload_bytes;
        self.ending == Ending::HalfClose || self.ending == Ending::Close && is_read
    }

    fn response(&self) -> Vec<u8> {
        let sent = &self.body[..self.sent_bytes];
        let length = self.body.len();
        let head = "HTTP/1.1 200 OK\r\n";
        match self.framing {
            Framing::None => [format!("{head}\r\n").as_bytes(), sent].concat(),
            Framing::Length => {
                let head = format!("{head}content-length: {length}\r\n\r\n");
                [head.as_bytes(), sent].concat()
            }
            Framing::Chunked => {
                let (first, second) = sent.split_at(sent.len() / 2);
                let mut response = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
                for chunk in [first, second].iter().filter(|chunk| !chunk.is_empty()) {
                    let size = format!("{:x}\r\n", chunk.len());
                    response.extend([size.as_bytes(), chunk, b"\r\n"].concat());
                }
                if self.is_whole() {
                    response.extend(b"0\r\n\r\n");
                }
                response
            }
        }
    }
}

/// Starts a server, and returns its address and the bytes of the upload that it has read.
async fn start_server(plan: ExchangePlan) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let taken = Rc::new(Cell::new(0));
    let counted = Rc::clone(&taken);
    spawn_local(async move {
        // A lost response lets the node look whether the server still accepts connections.
        while let Ok((stream, _)) = listener.accept().await {
            let (plan, counted) = (plan.clone(), Rc::clone(&counted));
            spawn_local(async move {
                // The node closes the connection when it gives up.
                let _ = serve(stream, &plan, &counted).await;
            });
        }
    });
    (address, taken)
}

async fn serve(mut stream: TcpStream, plan: &ExchangePlan, taken: &Cell<usize>) -> io::Result<()> {
    let mut received = Vec::new();
    if read_head(&mut stream, &mut received).await.is_none() {
        return Ok(());
    }
    let left = plan.read_bytes.saturating_sub(received.len());
    let mut upload = (&mut stream).take(left as u64);
    let count = io::copy(&mut upload, &mut io::sink()).await?;
    taken.set(received.len() + usize::try_from(count).expect("fits in memory"));
    let response = plan.response();
    for piece in response.chunks(response.len().div_ceil(plan.pieces)) {
        stream.write_all(piece).await?;
        time::sleep(plan.pause).await;
    }
    match plan.ending {
        Ending::Close => {}
        Ending::Reset => stream.set_zero_linger()?,
        Ending::HalfClose => {
            stream.shutdown().await?;
            io::copy(&mut stream, &mut io::sink()).await?;
        }
        Ending::KeepOpen => {
            io::copy(&mut stream, &mut io::sink()).await?;
        }
    }
    Ok(())
}

/// Runs one exchange and returns what is wrong with its result.
async fn run(seed: u64) -> Option<String> {
    let plan = ExchangePlan::from_seed(seed);
    if plan.framing == Framing::None && plan.ending == Ending::KeepOpen {
        // Such a response has no end.
        return None;
    }
    if plan.ending == Ending::KeepOpen && !plan.is_whole() {
        // The exchange would wait until the deadline.
        return None;
    }
    let (address, taken) = start_server(plan.clone()).await;
    let harness = ForwarderHarness::with_dialect(&[address], false, 4, USERS_DIALECT);
    let deadline = harness.forwarder.state().now().after(DEADLINE);
    let mut request = harness.request(0, deadline);
    request.message.method = HttpMethod::Post;
    request.message.body = Bytes::from(vec![b'u'; plan.upload_bytes]);
    let result = harness.forwarder.run(request).await;
    let problem = match &result {
        Ok(response)
            if !plan.may_be_forwarded(taken.get())
                || response.body != plan.body[..plan.sent_bytes] =>
        {
            format!("{} bytes were forwarded", response.body.len())
        }
        Err(error) if plan.must_be_forwarded() => format!("a whole response was refused: {error}"),
        _ => return None,
    };
    let (size, plan) = (
        plan.body.len(),
        ExchangePlan {
            body: Vec::new(),
            ..plan
        },
    );
    Some(format!("seed {seed}: {problem} of {size}, {plan:?}"))
}

#[actix_web::test]
async fn seeded_responses_are_forwarded_only_if_they_are_whole() {
    let seeds = env::var("SEEDS").unwrap_or_else(|_| DEFAULT_SEEDS.to_owned());
    let (first, end) = seeds.split_once("..").expect("SEEDS is FIRST..END");
    let seeds = first.parse().expect("a number")..end.parse().expect("a number");
    let runs = stream::iter(seeds)
        .map(run)
        .buffer_unordered(CONCURRENT_EXCHANGES);
    let problems: Vec<String> = runs.filter_map(std::future::ready).collect().await;
    assert!(problems.is_empty(), "{problems:#?}");
}
