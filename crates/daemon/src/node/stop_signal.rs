use std::time::Duration;

use tokio::{sync::watch, time};

/// Sending end of the stop signal; dropping it ends every task that holds a [`StopSignal`].
#[derive(Debug)]
pub struct StopSender {
    // Held only to be dropped: closing the channel is the signal.
    _sender: watch::Sender<()>,
}

/// Receiving end of the stop signal.
#[derive(Clone, Debug)]
pub struct StopSignal {
    receiver: watch::Receiver<()>,
}

impl StopSignal {
    /// Builds a connected pair.
    #[must_use]
    pub fn channel() -> (StopSender, Self) {
        let (sender, receiver) = watch::channel(());
        (StopSender { _sender: sender }, Self { receiver })
    }

    /// Waits until the sending end is dropped.
    pub async fn stopped(&mut self) {
        while self.receiver.changed().await.is_ok() {}
    }

    /// Waits for `interval`; returns false as soon as the sending end is dropped.
    pub async fn sleep(&mut self, interval: Duration) -> bool {
        tokio::select! {
            () = time::sleep(interval) => true,
            () = self.stopped() => false,
        }
    }
}
