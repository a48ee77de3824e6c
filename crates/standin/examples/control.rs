//! Trial driver.
use lentilreach_standin::measure::{Plan, Settings, control};
fn main() {
    let a: Vec<String> = std::env::args().collect();
    let s = Settings {
        nodes: a[1].parse().unwrap(),
        targets: a[2].parse().unwrap(),
        seconds: a[3].parse().unwrap(),
        loss_percent: 1.0,
        seed: 1,
        plan: Plan::ALL
            .into_iter()
            .find(|p| p.as_str() == a.get(4).map_or("steady", |s| s))
            .unwrap(),
    };
    let t = std::time::Instant::now();
    println!("{:#?} {:?}", control(&s), t.elapsed());
}
