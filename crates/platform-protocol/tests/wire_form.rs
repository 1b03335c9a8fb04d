//! The wire format between a router, its clients, its engines and the coordinator, byte for byte.

use hoptiller_platform_protocol::engine_command::{
    StatementCommand, encode_cancel, encode_discard, encode_fetch, encode_load_request,
    encode_statement,
};
use hoptiller_platform_protocol::engine_response::{LineDecoder, ResponseBody};
use hoptiller_platform_protocol::frame_decoder::{Frame, FrameDecoder};
use hoptiller_platform_protocol::request::{
    RequestError, failed_response, invalid_request_response, rejected_response, served_response,
};
use hoptiller_platform_protocol::{Config, Phase};
use hoptiller_policy::LoadReport;

#[test]
fn commands_to_engines_keep_their_wire_format() {
    let mut command = StatementCommand {
        id: "9b1f03aa5c7e2d41",
        class: "re\"port",
        idempotency_key: Some("key-1"),
        priority: Some(7),
        statement: "SELECT 1",
    };
    assert_eq!(
        encode_statement(&command, 1500),
        "{\"t\":\"REQ\",\"i\":\"9b1f03aa5c7e2d41\",\"f\":{\"c\":\"re\\\"port\",\"w\":1500,\"i\":\"key-1\",\"weight\":3},\
         \"b\":\"U0VMRUNUIDE=\"}\n"
    );
    (command.idempotency_key, command.priority) = (None, None);
    assert_eq!(
        encode_statement(&command, 0),
        "{\"t\":\"REQ\",\"i\":\"9b1f03aa5c7e2d41\",\"f\":{\"c\":\"re\\\"port\",\"w\":0},\"b\":\"U0VMRUNUIDE=\"}\n"
    );
    assert_eq!(
        encode_fetch("a", 2),
        "{\"t\":\"FETCH\",\"i\":\"a\",\"x\":2}\n"
    );
    assert_eq!(encode_discard("a"), "{\"t\":\"END\",\"i\":\"a\"}\n");
    assert_eq!(encode_cancel("a"), "{\"t\":\"STOP\",\"i\":\"a\"}\n");
    assert_eq!(encode_load_request("p1"), "{\"t\":\"STAT\",\"i\":\"p1\"}\n");
}

#[test]
fn engine_responses_keep_their_wire_format() {
    let mut decoder = LineDecoder::default();
    decoder.feed(
        b"{\"t\":\"served\",\"i\":\"a\",\"f\":{\"fetches\":\"2\",\"effort\":820.5,\"load\":\"inflight:7;x0:0.5;util:0.61\"},\"b\":\"YQ==\"}\n\
          {\"t\":\"rows\",\"i\":\"a\",\"f\":{\"fetch_no\":1},\"b\":\"Yg==\"}\n\
          {\"t\":\"overload\",\"i\":\"b\"}\n{\"t\":\"crashed\",\"i\":\"c\"}\n{\"t\":\"nobody\",\"i\":\"d\"}\n\
          {\"t\":\"red\",\"i\":\"p1\",\"f\":{\"load\":\"util:0.2\"}}\n",
    );
    let mut next = || {
        decoder
            .next_response()
            .expect("a valid line")
            .expect("a complete line")
    };
    let response = next();
    let ResponseBody::Served(result) = response.body else {
        panic!("expected a served response")
    };
    let LoadReport {
        in_flight,
        memory,
        cpu,
    } = result.load_report.expect("a load report");
    assert_eq!(
        (response.id.as_str(), result.pages, result.work),
        ("a", 2, Some(820_500))
    );
    assert_eq!((in_flight, memory, cpu), (Some(7.0), Some(0.5), Some(0.61)));
    assert!(matches!(next().body, ResponseBody::Page { number: 1, bytes } if bytes == b"b"));
    assert!(matches!(next().body, ResponseBody::Overloaded));
    assert!(matches!(next().body, ResponseBody::Crashed));
    assert!(matches!(next().body, ResponseBody::NotExecuted));
    assert!(matches!(next().body, ResponseBody::Load(Some(report)) if report.cpu == Some(0.2)));
}

#[test]
fn responses_to_clients_keep_their_wire_format() {
    let text = |response: hoptiller_http::Response| {
        String::from_utf8(response.encode(false))
            .expect("UTF-8")
            .replace("\r\n", "\n")
    };
    assert_eq!(text(served_response("[[1]]")), SERVED);
    assert_eq!(text(rejected_response(Some(1_500_001))), REJECTED);
    assert_eq!(
        text(rejected_response(None)),
        REJECTED.replace("Hold-Off-Ms: 1501\n", "")
    );
    assert_eq!(text(failed_response("it \"broke\"")), FAILED);
    assert_eq!(
        text(invalid_request_response(RequestError::Header(
            "Max-Wait-Ms"
        ))),
        INVALID_REQUEST
    );
    let status = [
        RequestError::UnknownClass,
        RequestError::DuplicateId,
        RequestError::Body,
    ]
    .map(RequestError::status);
    assert_eq!(status, [404, 409, 400]);
}

const SERVED: &str =
    "HTTP/1.1 200 OK\nContent-Length: 15\nContent-Type: application/json\n\n{\"batch\":[[1]]}";
const REJECTED: &str = "HTTP/1.1 429 Too Many Requests\nContent-Length: 22\nContent-Type: application/json\n\
    Hold-Off-Ms: 1501\n\n{\"reason\":\"Throttled\"}";
const FAILED: &str = "HTTP/1.1 500 Internal Server Error\nContent-Length: 43\nContent-Type: application/json\n\n\
    {\"detail\":\"it \\\"broke\\\"\",\"reason\":\"Broken\"}";
const INVALID_REQUEST: &str = "HTTP/1.1 400 Bad Request\nContent-Length: 51\nContent-Type: text/plain; charset=utf-8\n\n\
    Max-Wait-Ms: missing, given twice, or out of range\n";

#[test]
fn configuration_and_frame_keep_their_format() {
    let config = Config::parse(
        br#"{"name":"n3","listen":"127.0.0.4:8080","seed":"8c1f30d27a5be964","limits":{"cores":0.5,"memory_mb":96,"sockets":300},
        "coordinator":"127.0.0.9:7000","known":{"index":41,"updates":[{"endpoints":{"complete":true,"members":[
        {"id":"s-0000002a","host_port":"127.1.2.3:9000","locality":"y","flavor":"k","cell":4,"phase":"terminating","up_since_ms":7}]}}]},
        "settings":{"zones":["z","y"],"kinds":["k"],"lanes":[]}}"#,
    )
    .expect("a valid configuration");
    assert_eq!(
        (config.seed(), config.limits.sockets),
        (0x8c1f_30d2_7a5b_e964, 300)
    );
    let initial = config.initial_endpoints().expect("a valid endpoint list");
    let endpoint = &initial.endpoints[0];
    assert_eq!(
        (initial.number, endpoint.id, endpoint.zone, endpoint.phase),
        (41, 42, Some(1), Phase::Draining)
    );
    let mut frame = vec![0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 0, 42, 2];
    frame.extend([
        0, 0, 0, 43, 127, 1, 2, 4, 0x23, 0x28, 2, 1, 0, 0, 5, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 9,
    ]);
    let mut decoder = FrameDecoder::new(41);
    decoder.feed(&frame);
    let Some(Frame::Update(update)) = decoder.next_frame().expect("a valid frame") else {
        panic!("expected an update")
    };
    let endpoint = &update.endpoints[0];
    assert_eq!(
        (
            update.number,
            update.is_complete,
            endpoint.id,
            endpoint.phase
        ),
        (42, false, 43, Phase::Removed)
    );
    assert_eq!(
        (
            endpoint.addr.to_string().as_str(),
            endpoint.cell,
            endpoint.started_ms
        ),
        ("127.1.2.4:9000", 5, 9)
    );
}
