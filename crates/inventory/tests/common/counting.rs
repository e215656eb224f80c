//! An allocator that records the memory in use and its peak.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts allocated bytes and passes all calls on to the system allocator.
pub struct CountingAllocator;

/// Bytes in use.
pub static IN_USE_BYTES: AtomicUsize = AtomicUsize::new(0);
/// Maximum of [`IN_USE_BYTES`] since it was last reset.
pub static PEAK_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is passed on unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let in_use = IN_USE_BYTES.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        PEAK_BYTES.fetch_max(in_use, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        IN_USE_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}
