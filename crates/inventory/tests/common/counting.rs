//! How much memory is in use, and was at most.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts what is allocated, so that memory is measured and not guessed.
pub struct Counting;

pub static NOW: AtomicUsize = AtomicUsize::new(0);
pub static MOST: AtomicUsize = AtomicUsize::new(0);

// SAFETY: all is handed on to the system's allocator; only sums are kept beside.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let now = NOW.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        MOST.fetch_max(now, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        NOW.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}
