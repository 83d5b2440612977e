//! The stand-in's own paths over HTTP.

use std::time::Duration;

use kv_store::transport::{Method, Transport, TransportConfig};
use test_support::platform::Platform;

// Guards against fault switches that work only within the process, while whole-path tests set them over HTTP.
#[async_std::test]
async fn faults_instances_and_calls_are_reached_over_http() {
    let platform = Platform::start(([127, 0, 0, 1], 0).into()).await.expect("loopback port");
    let address = platform.address();
    let timeout = Duration::from_secs(1);
    let transport = Transport::new(TransportConfig { address, timeout, max_idle: 1 });
    let call = async |method, path: &str, body: &str| {
        let answer =
            transport.call(method, path, body.as_bytes().to_vec()).await.expect("an answer");
        (answer.status, String::from_utf8(answer.body).expect("text"))
    };
    let put = "{\"key\":\"YQ==\",\"value\":\"Yg==\"}";
    assert_eq!(call(Method::Post, "/v3/kv/put", put).await.0, 200);
    let (status, state) = call(Method::Put, "/faults", "{\"roll_back_to\":1,\"delay_ms\":2}").await;
    assert_eq!(status, 200);
    assert!(state.contains("\"revision\":1") && state.contains("\"delay_ms\":2"), "{state}");
    assert_eq!(call(Method::Put, "/faults", "{\"outrage\":true}").await.0, 400);
    assert_eq!(call(Method::Put, "/faults", "{\"lapse_lease\":9}").await.0, 404);
    let list = "[{\"id\":\"a\",\"address\":\"127.0.0.1:9\",\"failure_domain\":\"z1\",\"state\":\"leaving\"}]";
    assert_eq!(call(Method::Put, "/instances", list).await.0, 200);
    assert_eq!(call(Method::Get, "/instances", "").await.1, list);
    assert_eq!(call(Method::Get, "/calls", "").await.1, "{\"/instances\":1,\"/v3/kv/put\":1}");
    assert_eq!(call(Method::Put, "/faults", "{\"outage\":true}").await.0, 200);
    assert!(transport.call(Method::Get, "/instances", Vec::new()).await.is_err());
    // The switches stay within reach, or an outage could never be ended.
    assert_eq!(call(Method::Put, "/faults", "{\"outage\":false}").await.0, 200);
    assert_eq!(call(Method::Get, "/instances", "").await.1, list);
}

// Guards against byte counts that miss the request or the answer, which would make every figure per call too small.
#[async_std::test]
async fn bytes_of_requests_and_answers_are_counted_by_path() {
    let platform = Platform::start(([127, 0, 0, 1], 0).into()).await.expect("loopback port");
    let timeout = Duration::from_secs(1);
    let address = platform.address();
    let transport = Transport::new(TransportConfig { address, timeout, max_idle: 1 });
    let put = b"{\"key\":\"YQ==\",\"value\":\"Yg==\"}".to_vec();
    let sent = put.len();
    let answer = transport.call(Method::Post, "/v3/kv/put", put).await.expect("an answer");
    let counts = transport.call(Method::Get, "/bytes", Vec::new()).await.expect("counts");
    let expected = format!("{{\"/v3/kv/put\":{}}}", sent + answer.body.len());
    assert_eq!(String::from_utf8(counts.body).expect("text"), expected);
}
