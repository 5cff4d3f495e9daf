//! The leader's estimate of a machine's image cache. Workers do not report its contents: they are derived from the
//! tasks that ran on the machine, assuming that the least recently used images are evicted.

use std::collections::VecDeque;

/// Images assumed to be in a machine's cache.
#[derive(Debug, Default)]
pub struct ImageCache {
    /// The most recently used last.
    images: VecDeque<CachedImage>,
}

#[derive(Debug)]
struct CachedImage {
    name: String,
    size_gb: f64,
}

impl ImageCache {
    /// Names of the images, the most recently used last.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.images.iter().map(|image| image.name.as_str())
    }

    /// Whether an image is assumed to be in the cache.
    pub fn contains(&self, name: &str) -> bool {
        self.names().any(|cached| cached == name)
    }

    /// Records the use of an image, and evicts the least recently used ones that no longer fit into `capacity_gb`. The
    /// image just used stays even if it does not fit by itself.
    pub fn record_use(&mut self, name: &str, size_gb: f64, capacity_gb: f64) {
        self.images.retain(|image| image.name != name);
        self.images.push_back(CachedImage { name: name.to_string(), size_gb });
        let mut total_gb: f64 = self.images.iter().map(|image| image.size_gb).sum();
        while total_gb > capacity_gb && self.images.len() > 1 {
            if let Some(evicted) = self.images.pop_front() {
                total_gb -= evicted.size_gb;
            }
        }
    }

    /// Empties the cache: the machine's worker has restarted.
    pub fn clear(&mut self) {
        self.images.clear();
    }
}
