// Long work is not put on spot machines beyond a third, since a wave of losses would cost it dearly;
// short work may use as many as there are.
fn spot_share(job, cluster) {
    if job.estimate_s > 120.0 { 0.33 } else { 1.0 }
}

// Small tasks stay off large machines that a gang may need whole.
fn avoid_types(job, types) {
    if job.kind == "gang" || job.cpus >= 4.0 { return []; }
    let avoided = [];
    for name in types { if name == "large" { avoided.push(name); } }
    avoided
}
