// While thousands of tasks wait, large batches without a deadline are asked to come back a little
// later; production work is never asked, whatever this says.
fn admit(job, cluster) {
    let batch = job.kind == "array" && job.left_s > 1e8;
    if batch && job.tasks > 200 && cluster.waiting > 5000 { 20 } else { true }
}
