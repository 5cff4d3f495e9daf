// At most a third of the tasks of a long job run on spot machines, since many reclaimed at once would lose much of its
// work. Short jobs may use spot machines for all their tasks.
fn spot_share(job, cluster) {
    if job.estimate_s > 120.0 { 0.33 } else { 1.0 }
}

// Keeps small tasks off large machines, which gangs may need as a whole.
fn avoid_types(job, types) {
    if job.kind == "gang" || job.cpus >= 4.0 { return []; }
    let avoided = [];
    for name in types { if name == "large" { avoided.push(name); } }
    avoided
}
