use std::time::Duration;

use tokio::{sync::watch, time};

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

    /// Sleeps for `interval`. Returns false as soon as the sender is dropped.
    pub async fn sleep(&mut self, interval: Duration) -> bool {
        tokio::select! {
            () = time::sleep(interval) => true,
            () = self.stopped() => false,
        }
    }
}
