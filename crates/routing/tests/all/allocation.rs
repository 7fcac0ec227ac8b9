//! Routing decisions do not allocate.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

use lovagelatch_routing::{FlowRouter, MAX_SCANNED_TARGETS, MIN_INITIAL_BYTES, PacketView};

use crate::support::{CLAIMS, CLAIMS_ADDRESS, keys, live, long_header, short_header, table, token};

/// Counts allocations per thread, so that concurrent tests do not affect the result.
struct CountingAllocator;

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

// SAFETY: all calls are passed to the system allocator; counting does not use the heap.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.with(|count| count.set(count.get() + 1));
        // SAFETY: the caller upholds the contract of `GlobalAlloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: the caller upholds the contract of `GlobalAlloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn allocations() -> u64 {
    ALLOCATIONS.with(Cell::get)
}

#[test]
fn a_decision_allocates_nothing() {
    let many = u16::try_from(MAX_SCANNED_TARGETS).expect("a small bound") + 1;
    let keys = keys(1);
    let sealed = token(2, CLAIMS).seal(&keys);
    let datagrams = [
        short_header(&sealed),
        short_header(&[1; 20]),
        long_header(0, 1, &[7; 8], MIN_INITIAL_BYTES),
        vec![0xc0],
    ];
    for count in [1, 7, many, 3 * many] {
        let mut table = table(&live(count));
        let router = FlowRouter::new();
        // In the second iteration, large services have a bucket table.
        for has_buckets in [false, true] {
            let before = allocations();
            for datagram in &datagrams {
                if let Ok(packet) = PacketView::read(datagram, CLAIMS_ADDRESS, &keys) {
                    std::hint::black_box(router.route(&packet, &table));
                }
            }
            assert_eq!(allocations() - before, 0, "{count} targets, {has_buckets}");
            table = table.refresh_buckets(usize::MAX).unwrap_or(table);
        }
    }
}

#[test]
fn an_allocation_is_counted() {
    let before = allocations();
    drop(std::hint::black_box(Box::new(1)));
    assert_eq!(allocations() - before, 1);
}
