//! The leader's estimate of a machine's image cache. Workers do not report it: the estimate follows the images of the
//! tasks that ran there, and the least recently used are assumed to have been dropped.

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

    /// Whether an image is assumed to be there.
    pub fn contains(&self, name: &str) -> bool {
        self.names().any(|cached| cached == name)
    }

    /// Notes the use of an image, and drops those used longest ago that no longer fit in `capacity_gb`. The one just used
    /// stays even if it alone does not fit.
    pub fn note_use(&mut self, name: &str, size_gb: f64, capacity_gb: f64) {
        self.images.retain(|image| image.name != name);
        self.images.push_back(CachedImage { name: name.to_string(), size_gb });
        let mut total_gb: f64 = self.images.iter().map(|image| image.size_gb).sum();
        while total_gb > capacity_gb && self.images.len() > 1 {
            if let Some(dropped) = self.images.pop_front() {
                total_gb -= dropped.size_gb;
            }
        }
    }

    /// The machine's worker has restarted with an empty cache.
    pub fn clear(&mut self) {
        self.images.clear();
    }
}
