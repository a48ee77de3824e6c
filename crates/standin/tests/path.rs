//! Tests the path from callers over fabric, balancers and agents to backend servers, over real
//! sockets.

use lentilreach::process::metric;
use lentilreach_standin::demo::{self, Settings};
use lentilreach_standin::deployment::Deployment;
use lentilreach_standin::plan::Plan;

/// A short run without changes or packet loss.
fn short_run() -> Settings {
    Settings {
        deployment: Deployment::weilheim(),
        plan: Plan::Steady,
        seed: 1,
        seconds: 1,
        scale: 0.002,
        loss: 0.0,
    }
}

/// Sums a counter over all series that have a label, in Prometheus' text format.
fn sum_counter(metrics: &str, name: &str, label: &str) -> f64 {
    let lines =
        metrics.lines().filter(|line| line.starts_with(name) && line.contains(label));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Guards against callers that grease the QUIC fixed bit: balancers do not recognise their
/// datagrams as QUIC. This dropped half of all datagrams, and handshakes took seconds.
#[test]
fn datagrams_of_callers_are_recognised_as_quic() {
    let metrics = metric::install().expect("no other recorder is installed");

    let run =
        demo::run(&short_run(), |_| {}).expect("sockets and threads can be created");

    let metrics = metrics.render();
    let received =
        sum_counter(&metrics, "lentilreach_balancer_datagrams_received_total", "");
    assert!(received > 100.0, "{received} datagrams received");
    let dropped = "lentilreach_balancer_datagrams_dropped_total";
    assert_eq!(sum_counter(&metrics, dropped, "not_quic"), 0.0, "{metrics}");
    assert!(run.report.has_no_violations(), "{:?}", run.report);
    assert!(run.report.requests_answered > 0);
}
