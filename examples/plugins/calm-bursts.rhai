// While more than 5,000 tasks are waiting, submissions of large arrays without a deadline are deferred for 20 s.
// swiftsail never defers production jobs, whatever this function returns.
fn admit(job, cluster) {
    let batch = job.kind == "array" && job.left_s > 1e8;
    if batch && job.tasks > 200 && cluster.waiting > 5000 { 20 } else { true }
}
