//! Stand-in for an application instance: it runs requests and pings the node beside it.

use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{http, record::Record};

const SLOTS: u32 = 12;
const BEAT: Duration = Duration::from_millis(1_500);

/// A request that reached an instance and was not answered with 421.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub request: String,
    pub instance: String,
}

pub struct InstanceState {
    pub name: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub address: SocketAddr,
    control: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    is_draining: AtomicBool,
    beats: AtomicBool,
    is_up: AtomicBool,
    has_exited: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Share of the requests that fail with 500, in hundredths.
    failing: AtomicU64,
    shedding: Mutex<Shedding>,
    running: AtomicU64,
    arrivals: Mutex<Vec<Arrival>>,
    record: Record,
    work: Duration,
}

/// How a faulty instance rejects requests.
#[derive(Clone, Copy, Default)]
pub struct Shedding {
    /// Share of the requests that are rejected as not executed, in hundredths.
    pub share: u64,
    /// Share of the rejections after which a second copy follows, in hundredths.
    pub doubled: u64,
    /// Time after which the second copy follows.
    pub delay: Duration,
}

#[derive(Clone)]
pub struct Instance {
    pub state: Arc<InstanceState>,
}

pub struct InstancePlace<'a> {
    pub name: &'a str,
    pub service: &'a str,
    pub version: &'a str,
    pub zone: &'a str,
    pub address: SocketAddr,
    pub control: SocketAddr,
    /// Whether the instance is up from the start; otherwise it pings from [`Instance::come_up`] on.
    pub is_up: bool,
}

impl Instance {
    pub fn start(place: &InstancePlace<'_>, work: Duration, record: &Record) -> Instance {
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .expect("the clock is set")
            .as_millis();
        let instance = Instance {
            state: Arc::new(InstanceState {
                name: place.name.to_owned(),
                service: place.service.to_owned(),
                version: place.version.to_owned(),
                zone: place.zone.to_owned(),
                address: place.address,
                control: place.control,
                born: born as u64,
                sequence: AtomicU64::new(0),
                is_draining: AtomicBool::new(false),
                beats: AtomicBool::new(true),
                is_up: AtomicBool::new(place.is_up),
                has_exited: AtomicBool::new(false),
                connections: Mutex::default(),
                failing: AtomicU64::new(0),
                shedding: Mutex::default(),
                running: AtomicU64::new(0),
                arrivals: Mutex::default(),
                record: record.clone(),
                work,
            }),
        };
        let listener = TcpListener::bind(place.address).expect("the instance's port is free");
        let served = instance.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.state.has_exited.load(Ordering::SeqCst) {
                    return;
                }
                let copy = stream.try_clone();
                served.state.connections.lock().unwrap().extend(copy);
                let instance = served.clone();
                thread::spawn(move || instance.serve(stream));
            }
        });
        let beating = instance.clone();
        thread::spawn(move || {
            while beating.state.beats.load(Ordering::SeqCst) {
                if !beating.state.is_up.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                }
                let body = beating.beat_body();
                beating.send_beat(&body);
                thread::sleep(BEAT);
            }
        });
        instance
    }

    pub fn name(&self) -> &str {
        &self.state.name
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.arrivals.lock().unwrap().clone()
    }

    pub fn set_failing(&self, hundredths: u64) {
        self.state.failing.store(hundredths, Ordering::SeqCst);
    }

    /// Returns whether the instance fails a request after it has run it.
    pub fn fails(&self, request: &str) -> bool {
        draw(request, 3) < self.state.failing.load(Ordering::SeqCst)
    }

    pub fn set_shedding(&self, shedding: Shedding) {
        *self.state.shedding.lock().unwrap() = shedding;
    }

    /// Stops pinging, as an instance that has deregistered does.
    pub fn stop_beats(&self) {
        self.state.beats.store(false, Ordering::SeqCst);
    }

    /// Lets an instance that has been starting ping.
    pub fn come_up(&self) {
        self.state.is_up.store(true, Ordering::SeqCst);
    }

    /// Ends the instance: its connections close, and its port refuses new ones.
    pub fn exit(&self) {
        self.stop_beats();
        self.state.has_exited.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.state.address);
        for connection in self.state.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.state
            .record
            .line(&format!("instance {} exits", self.name()));
    }

    pub fn set_draining(&self) {
        self.state.is_draining.store(true, Ordering::SeqCst);
    }

    /// Returns the body of the next ping.
    pub fn beat_body(&self) -> String {
        let state = &self.state;
        let sequence = state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let reported = match state.is_draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        format!(
            "{{\"Address\":\"{}\",\"born\":{},\"Info\":{{\"Service\":\"{}\",\"Version\":\"{}\",\"Zone\":\"{}\",\"Slots\":{SLOTS}}},\"Status\":{{\"State\":\"{reported}\",\"Seq\":{sequence},\"ColdLeft\":\"0ms\"}}}}",
            state.address, state.born, state.service, state.version, state.zone
        )
    }

    /// Sends a ping and returns whether it was acknowledged within a second.
    pub fn send_beat(&self, body: &str) -> bool {
        let target = format!("/bronzelb/rpc?call=instances.heartbeat&of={}", self.name());
        self.call(&target, body)
    }

    /// Deregisters and returns whether that was acknowledged.
    pub fn deregister(&self) -> bool {
        let target = format!("/bronzelb/rpc?call=instances.deregister&of={}", self.name());
        let body = format!("{{\"born\":{}}}", self.state.born);
        self.call(&target, &body)
    }

    fn call(&self, target: &str, body: &str) -> bool {
        let host = self.state.control.to_string();
        let headers = [
            ("Host", host.as_str()),
            ("Content-Type", "application/json"),
            ("Connection", "close"),
        ];
        let bytes = http::request("POST", target, &headers, body.as_bytes());
        let answer = http::call(self.state.control, &bytes, Duration::from_secs(1));
        answer.is_ok_and(|answer| (200..300).contains(&answer.status()))
    }

    fn serve(&self, stream: TcpStream) {
        let state = &self.state;
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let writer = Arc::new(Mutex::new(writer));
        let write = |bytes: &[u8]| writer.lock().unwrap().write_all(bytes);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_message(&mut reader) {
            let load = format!("{},0,{SLOTS}", state.running.load(Ordering::SeqCst));
            if request.path() == "/health" {
                let headers = [
                    ("X-Instance-Id", state.name.as_str()),
                    ("X-Server-Load", load.as_str()),
                    ("X-Cold-Ms", "0"),
                ];
                let _ = write(&http::response(200, &headers, b""));
                continue;
            }
            let id = request.header("x-request-id").to_owned();
            let expected = request.header("x-expect-instance");
            if !expected.is_empty() && expected != state.name {
                let headers = [
                    ("X-Instance-Id", state.name.as_str()),
                    ("X-Request-Id", &id),
                ];
                let _ = write(&http::response(421, &headers, b""));
                continue;
            }
            let shedding = *state.shedding.lock().unwrap();
            if draw(&id, 1) < shedding.share {
                let rejection = http::response(503, &[("X-Not-Executed", "1")], b"");
                let is_doubled = draw(&id, 2) < shedding.doubled;
                state.record.line(&format!(
                    "request {id} is rejected by {} as not executed{}",
                    state.name,
                    if is_doubled {
                        ", a second copy follows"
                    } else {
                        ""
                    }
                ));
                let _ = write(&rejection);
                if is_doubled {
                    let writer = Arc::clone(&writer);
                    thread::spawn(move || {
                        thread::sleep(shedding.delay);
                        let _ = writer.lock().unwrap().write_all(&rejection);
                    });
                }
                continue;
            }
            let at = state.record.time();
            let arrival = Arrival {
                at,
                request: id.clone(),
                instance: state.name.clone(),
            };
            state.arrivals.lock().unwrap().push(arrival);
            state.record.line(&format!(
                "request {id} reaches instance {} and runs",
                state.name
            ));
            state.running.fetch_add(1, Ordering::SeqCst);
            thread::sleep(state.work);
            state.running.fetch_sub(1, Ordering::SeqCst);
            let status = match self.fails(&id) {
                true => 500,
                false => 200,
            };
            let seal = format!("seal-{}-{id}", state.name);
            let headers = [
                ("X-Request-Id", id.as_str()),
                ("X-Server-Seal", seal.as_str()),
                ("X-Server-Load", load.as_str()),
                ("Keep-Alive", "timeout=10"),
            ];
            let body = format!(
                "{} {} by {}",
                request.method(),
                request.target(),
                state.name
            );
            if write(&http::response(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }
}

/// Returns a number below 100 that is drawn from a request's id.
fn draw(id: &str, salt: u64) -> u64 {
    let hash = id
        .bytes()
        .fold(salt.wrapping_mul(0x9e37_79b9_7f4a_7c15), |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        });
    ((hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 33) % 100
}
