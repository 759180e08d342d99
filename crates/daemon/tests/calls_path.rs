//! Calls over real sockets: both hops, faults of backend servers, death and stop of daemons.

mod mesh;

use cyclamen_standins::{CallKey, Told};
use http::Method;
use mesh::{DOORS, Mesh, plan};

#[tokio::test]
async fn call_both_hops() {
    let mesh = Mesh::start(2, 4, DOORS).await;
    for number in 0..40 {
        let key = format!("call-{number}");
        let answer = mesh.call(number % 2, &plan(Method::POST, "/records", &key)).await;
        assert_eq!(answer.told, Told::Answered, "{answer:?}");
        assert_eq!(mesh.record.times(&CallKey::from(key.as_str())), 1);
    }
}

#[tokio::test]
async fn call_large_answer() {
    let mesh = Mesh::start(2, 4, DOORS).await;
    for member in 0..2 {
        let answer = mesh.call(member, &plan(Method::GET, "/packs?bytes=3000000", "pack")).await;
        assert_eq!(answer.told, Told::Answered, "{answer:?}");
    }
}
