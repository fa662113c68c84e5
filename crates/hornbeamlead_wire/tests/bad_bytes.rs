//! Malformed input is rejected without a panic and within an allocation bound.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::message::control::{ControlMessage, PromiseRequest};
use hornbeamlead_wire::{
    MAX_DATAGRAM_BYTES, WIRE_VERSION, WireError, decode_cell, decode_control, decode_job,
    decode_link, encode_control,
};
use proptest::prelude::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

/// Most memory that decoding may hold at once beyond the input, in bytes.
///
/// Deserialization reserves at most 1 MiB ahead for each open sequence, and no wire type nests more
/// than three sequences.
const DECODE_BOUND: usize = 4 * 1024 * 1024;

thread_local! {
    static HELD_BYTES: Cell<isize> = const { Cell::new(0) };
    static PEAK_BYTES: Cell<isize> = const { Cell::new(0) };
}

struct CountingAllocator;

fn record_change(change: isize) {
    let held = HELD_BYTES.get() + change;
    HELD_BYTES.set(held);
    PEAK_BYTES.set(PEAK_BYTES.get().max(held));
}

// SAFETY: every call is forwarded unchanged to the system allocator; only counters are updated.
#[allow(unsafe_code)]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        record_change(layout.size() as isize);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        record_change(-(layout.size() as isize));
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn peak_allocation(work: impl FnOnce()) -> usize {
    HELD_BYTES.set(0);
    PEAK_BYTES.set(0);
    work();
    PEAK_BYTES.get().unsigned_abs()
}

fn with_version(mut bytes: Vec<u8>) -> Vec<u8> {
    bytes.insert(0, WIRE_VERSION);
    bytes
}

proptest! {
    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..4096)) {
        let bytes = with_version(bytes);
        let peak = peak_allocation(|| {
            drop(decode_control(&bytes));
            drop(decode_link(&bytes, MonoTime(0)));
            drop(decode_cell(&bytes));
            drop(decode_job(&bytes));
        });
        prop_assert!(peak <= DECODE_BOUND + 4 * bytes.len(), "held {} bytes", peak);
    }

    #[test]
    fn flipped_bytes(index in any::<prop::sample::Index>(), mask in 1..=255u8) {
        let mut bytes = encode_control(&promise_request());
        let position = index.index(bytes.len());
        bytes[position] ^= mask;
        let _ = decode_control(&bytes);
    }

    #[test]
    fn cut_bytes(index in any::<prop::sample::Index>()) {
        let bytes = encode_control(&promise_request());
        let length = index.index(bytes.len());
        prop_assert!(decode_control(&bytes[..length]).is_err());
    }
}

fn promise_request() -> ControlMessage {
    ControlMessage::PromiseRequest(PromiseRequest {
        cell: "3".parse().unwrap(),
        planner: "negombo-01".parse().unwrap(),
        epoch: "12".parse().unwrap(),
        clock: MonoTime(123_456),
        incarnation: "99".parse().unwrap(),
    })
}

#[test]
fn other_version() {
    let mut bytes = encode_control(&promise_request());
    bytes[0] = WIRE_VERSION + 1;
    let expected = WireError::Version {
        found: WIRE_VERSION + 1,
        expected: WIRE_VERSION,
    };
    assert_eq!(decode_control(&bytes), Err(expected));
}

#[test]
fn trailing_bytes() {
    let mut bytes = encode_control(&promise_request());
    bytes.push(0);
    assert_eq!(
        decode_control(&bytes),
        Err(WireError::Trailing { count: 1 })
    );
}

#[test]
fn long_datagram() {
    let bytes = vec![WIRE_VERSION; MAX_DATAGRAM_BYTES + 1];
    assert!(matches!(
        decode_control(&bytes),
        Err(WireError::TooLong { .. })
    ));
}

#[test]
fn empty_message() {
    assert_eq!(decode_control(&[]), Err(WireError::Empty));
}
