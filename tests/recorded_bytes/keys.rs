//! The keys of the state service and the paths of every interface.

use swiftsail_controller::job::{chunk_key, keys};
use swiftsail_controller::quota_records;
use swiftsail_deadline_planning::Occurrence;
use swiftsail_protocol::{cloud, controllers, state, users, workers};
use swiftsail_quota::records::QuotaKey;

#[test]
fn store_keys_are_unchanged() {
    let fixed = [
        (keys::JOBS, "job/"),
        (keys::FINALS, "end/"),
        (keys::BINDINGS, "bind/"),
        (keys::SHEETS, "sheet/"),
        (keys::PLUGINS, "plug/"),
        (keys::REPLICATED_RECORDS, "order/"),
        (keys::RECORD_FORMAT, "term/form"),
        (keys::LEADER, "term/leader"),
        (keys::TERM, "term/"),
        (keys::MACHINE_TYPES, "types/all"),
        (quota_records::KEY_PREFIX, "amount/"),
    ];
    fixed.iter().for_each(|(current, recorded)| assert_eq!(current, recorded));
    let built = [
        (keys::job("wk-1"), "job/wk-1"),
        (keys::log_segment(7), "sheet/007"),
        (keys::final_record("wk-1"), "end/wk-1"),
        (keys::job_or_final_record("wk-1", true), "end/wk-1"),
        (keys::job_or_final_record("wk-1", false), "job/wk-1"),
        (chunk_key(&"wk-1".into(), 12), "bind/wk-1/00012"),
        (quota_records::store_key(2, &QuotaKey::FencingToken("d".into())), "term/leader"),
        (quota_records::store_key(2, &QuotaKey::Pool), "amount/2/pool"),
        (quota_records::store_key(2, &QuotaKey::Holding("north".into())), "amount/2/of/north"),
        (Occurrence::key("north", 1_700_000_600_000), "01700000600000-north"),
    ];
    built.iter().for_each(|(current, recorded)| assert_eq!(current, recorded));
}

#[test]
fn protocol_paths_are_unchanged() {
    let paths = [
        (users::path::JOBS, "/v1/jobs"),
        (users::path::JOB, "/v1/jobs/{id}"),
        (users::path::CANCEL, "/v1/jobs/{id}/withdraw"),
        (users::path::HEALTH, "/up"),
        (workers::path::REPORT, "/v1/report"),
        (workers::path::COMMANDS, "/commands"),
        (workers::path::INSPECT, "/inspect"),
        (cloud::path::MACHINE_TYPES, "/machine_types"),
        (cloud::path::MACHINES, "/machines"),
        (cloud::path::RELEASE_MACHINES, "/machines/return"),
        (cloud::NO_CAPACITY, "no capacity"),
        (state::path::KEYS, "/kv"),
        (state::path::TRANSACTIONS, "/commit"),
        (state::path::LEASES, "/grants"),
        (state::path::LEASE_RENEWAL, "extend"),
        (state::path::WATCH, "/follow"),
        (controllers::path::HEARTBEAT, "/beat"),
        (controllers::path::FORWARDED_REPORTS, "/relay"),
    ];
    paths.iter().for_each(|(current, recorded)| assert_eq!(current, recorded));
}

#[test]
fn operator_and_local_paths_are_unchanged() {
    use swiftsail::admin::path;
    let paths = [
        (path::JOBS, "/admin/jobs"),
        (path::EXPLAIN, "/admin/jobs/{id}/explain"),
        (path::JOB_TIER, "/admin/jobs/{id}/tier"),
        (path::PIPELINE, "/admin/jobs/{id}/pipeline"),
        (path::TIERS, "/admin/tiers"),
        (path::DISPATCH, "/admin/dispatch"),
        (path::LOANS, "/admin/loans"),
        (path::PLUGINS, "/admin/plugins"),
        (path::PLUGIN, "/admin/plugins/{name}"),
        (path::ENABLE, "/admin/plugins/{name}/enable"),
        (path::DISABLE, "/admin/plugins/{name}/disable"),
        (swiftsail::local::path::FAULT, "/fault"),
        (swiftsail::local::path::STATUS, "/standing"),
        (swiftsail::http::MESSAGE_PACK, "application/msgpack"),
    ];
    paths.iter().for_each(|(current, recorded)| assert_eq!(current, recorded));
}
