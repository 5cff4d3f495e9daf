// Jobs of the class `reconcile` must be done before the morning shift. From 03:00 to 06:00 UTC, and while less than twice
// their estimated run time is left until the deadline, they precede other jobs of their priority.
fn priority(job, cluster) {
    if job.class != "reconcile" { return 0; }
    let late_night = cluster.day_s > 10800.0 && cluster.day_s < 21600.0;
    let tight = job.left_s < 2.0 * job.estimate_s;
    if late_night || tight { 50 } else { 0 }
}

// Classes with late jobs come first; the others keep their order.
fn class_order(class, cluster) {
    if class.late > 0 { 1 } else { 2 }
}
