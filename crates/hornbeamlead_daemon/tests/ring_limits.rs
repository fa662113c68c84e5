//! The ring into the decisions refuses new work at once and keeps room for outcomes.

use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_daemon::ring::{OfferRefusal, RING_ITEMS, decision_ring};
use std::thread::{sleep, spawn};
use std::time::Duration;

#[test]
fn full_ring_refused() {
    let (sender, receiver) = decision_ring();
    let taken = (0..).take_while(|item| sender.offer(*item).is_ok()).count();
    assert!(taken < RING_ITEMS, "no room is kept for outcomes");
    let refusal = sender.offer(-1).unwrap_err();
    assert_eq!(refusal, OfferRefusal::Full(-1));
    assert_eq!(refusal.reason(), RefusalReason::RingFull);
    assert_eq!(receiver.recv(), Ok(0));
    assert_eq!(sender.offer(-2), Ok(()));
}

#[test]
fn outcomes_keep_room() {
    let (sender, receiver) = decision_ring();
    while sender.offer(0).is_ok() {}
    let fits = RING_ITEMS - receiver.len();
    for item in 0..fits {
        assert_eq!(sender.deliver(item), Ok(()));
    }
    assert_eq!(receiver.len(), RING_ITEMS);
    let reader = spawn(move || {
        sleep(Duration::from_millis(50));
        receiver.recv().map(|_| receiver)
    });
    assert_eq!(sender.deliver(7), Ok(()));
    assert!(reader.join().unwrap().is_ok());
}

#[test]
fn ended_reader_told() {
    let (sender, receiver) = decision_ring();
    drop(receiver);
    let refusal = sender.offer(1).unwrap_err();
    assert_eq!(refusal, OfferRefusal::Ended(1));
    assert_eq!(refusal.reason(), RefusalReason::Leaving);
    assert_eq!(sender.deliver(2), Err(OfferRefusal::Ended(2)));
}
