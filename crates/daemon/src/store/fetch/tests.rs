//! Which source is queried when.

use std::time::Duration;

use futures::FutureExt;

use super::Transfers;

const DELAY: Duration = Duration::from_millis(20);

#[tokio::test]
async fn until_idle_waits_while_a_transfer_goes_on() {
    let transfers = Transfers::new();
    let transfer = transfers.begin();
    let mut next = transfers.until_idle(DELAY).boxed();
    tokio::time::sleep(4 * DELAY).await;
    assert!((&mut next).now_or_never().is_none());
    drop(transfer);
    next.await;
}

#[tokio::test]
async fn until_idle_without_a_transfer() {
    let transfers = Transfers::new();
    let began = tokio::time::Instant::now();
    transfers.until_idle(DELAY).await;
    assert!(began.elapsed() >= DELAY);
}
