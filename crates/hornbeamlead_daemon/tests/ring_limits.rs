//! A full ring into the decision thread refuses new work at once and keeps space for outcomes.

use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_daemon::ring::{OfferRefusal, RING_CAPACITY, decision_ring};
use std::thread::{sleep, spawn};
use std::time::Duration;

#[test]
fn full_ring_refused() {
    let (sender, receiver) = decision_ring();
    let taken = (0..).take_while(|item| sender.offer(*item).is_ok()).count();
    assert!(taken < RING_CAPACITY, "no space is reserved for outcomes");
    let refusal = sender.offer(-1).unwrap_err();
    assert_eq!(refusal, OfferRefusal::Full(-1));
    assert_eq!(refusal.reason(), RefusalReason::RingFull);
    assert_eq!(receiver.recv(), Ok(0));
    assert_eq!(sender.offer(-2), Ok(()));
}

#[test]
fn outcomes_fit() {
    let (sender, receiver) = decision_ring();
    while sender.offer(0).is_ok() {}
    let fits = RING_CAPACITY - receiver.len();
    for item in 0..fits {
        assert_eq!(sender.deliver(item), Ok(()));
    }
    assert_eq!(receiver.len(), RING_CAPACITY);
    let reader = spawn(move || {
        sleep(Duration::from_millis(50));
        receiver.recv().map(|_| receiver)
    });
    assert_eq!(sender.deliver(7), Ok(()));
    assert!(reader.join().unwrap().is_ok());
}

#[test]
fn ended_reader_reported() {
    let (sender, receiver) = decision_ring();
    drop(receiver);
    let refusal = sender.offer(1).unwrap_err();
    assert_eq!(refusal, OfferRefusal::Ended(1));
    assert_eq!(refusal.reason(), RefusalReason::Leaving);
    assert_eq!(sender.deliver(2), Err(OfferRefusal::Ended(2)));
}
