use std::{sync::OnceLock, time::Duration};

use tokio::{
    sync::watch,
    time::{self, Instant},
};

/// Sender of the stop signal. Dropping it stops every task that holds a [`StopSignal`].
#[derive(Debug)]
pub struct StopSender {
    // Dropping the sender closes the channel, which is the signal.
    _sender: watch::Sender<()>,
}

/// Receiver of the stop signal.
#[derive(Clone, Debug)]
pub struct StopSignal {
    receiver: watch::Receiver<()>,
}

impl StopSignal {
    /// Creates a connected sender and receiver.
    #[must_use]
    pub fn channel() -> (StopSender, Self) {
        let (sender, receiver) = watch::channel(());
        (StopSender { _sender: sender }, Self { receiver })
    }

    /// Waits until the sender is dropped.
    pub async fn stopped(&mut self) {
        while self.receiver.changed().await.is_ok() {}
    }

    /// Sleeps until the next multiple of `interval` since the process's first tick, so that tasks
    /// with the same interval wake the process together. Returns false as soon as the sender is
    /// dropped.
    pub async fn tick(&mut self, interval: Duration) -> bool {
        tokio::select! {
            () = time::sleep_until(next_tick(interval)) => true,
            () = self.stopped() => false,
        }
    }

    /// Sleeps for `interval`. Returns false as soon as the sender is dropped.
    pub async fn sleep(&mut self, interval: Duration) -> bool {
        tokio::select! {
            () = time::sleep(interval) => true,
            () = self.stopped() => false,
        }
    }
}

/// Returns the next multiple of `interval` since the process's first tick.
fn next_tick(interval: Duration) -> Instant {
    static FIRST_TICK: OnceLock<Instant> = OnceLock::new();
    let now = Instant::now();
    let first = *FIRST_TICK.get_or_init(|| now);
    let interval_nanos = interval.as_nanos().max(1);
    let left_nanos = interval_nanos - now.duration_since(first).as_nanos() % interval_nanos;
    now + Duration::from_nanos(u64::try_from(left_nanos).unwrap_or(u64::MAX))
}
