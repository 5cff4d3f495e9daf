// Batches of the class `reconcile` must be done before the morning shift. From 03:00 UTC on, and for
// every job with less than twice its estimate left, they come before other work of their level.
fn priority(job, cluster) {
    if job.class != "reconcile" { return 0; }
    let late_night = cluster.day_s > 10800.0 && cluster.day_s < 21600.0;
    let tight = job.left_s < 2.0 * job.estimate_s;
    if late_night || tight { 50 } else { 0 }
}

// The classes whose jobs are late already go first, the rest keep their order.
fn class_order(class, cluster) {
    if class.late > 0 { 1 } else { 2 }
}
