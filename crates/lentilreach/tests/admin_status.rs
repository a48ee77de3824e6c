//! The JSON form of a status.
//!
//! Snapshots are compared with the help of another process, which holds copies of all sockets
//! until it runs its program. Tests that close sockets are therefore in `admin.rs`.

#[path = "fixture/status.rs"]
mod fixture;

use fixture::status;
use lentilreach::process::admin;

/// Guards against changes of the JSON form, which operators' scripts read.
#[test]
fn status_json_is_stable() {
    let form = admin::wire::Status::new(&status(), None);

    let text = serde_json::to_string(&form).expect("a status is JSON");

    insta::assert_snapshot!(text, @r#"{"name":"b1","role":"balancer","incarnation":"000000000000feed","domain":"belper","ready":true,"revision":12,"services":[{"name":"peakline/ropeledger","members":[{"name":"rope-1","domain":"matlock","stage":"active","open":41,"limit":2000,"busy":1,"slots":2},{"name":"rope-2","domain":"matlock","stage":"silent","open":0,"limit":2000,"busy":1,"slots":2}]}]}"#);
}
