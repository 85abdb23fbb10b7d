#include "main/settings.h"

namespace ApricotStep
{

namespace
{

constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t DayMs = 86'400'000;

SettingSpec text(std::string_view section, std::string_view key, std::string_view defaultValue, std::string_view description)
{
    return { section, key, SettingType::Text, "", 0, 0, defaultValue, false, description };
}

SettingSpec required(std::string_view section, std::string_view key, std::string_view description)
{
    return { section, key, SettingType::Text, "", 0, 0, "", true, description };
}

SettingSpec number(std::string_view section, std::string_view key, std::string_view unit, std::int64_t min, std::int64_t max,
    std::string_view defaultValue, std::string_view description)
{
    return { section, key, SettingType::Number, unit, min, max, defaultValue, false, description };
}

SettingSpec milliseconds(std::string_view section, std::string_view key, std::int64_t min, std::int64_t max, std::string_view defaultValue,
    std::string_view description)
{
    return { section, key, SettingType::Milliseconds, "ms", min, max, defaultValue, false, description };
}

} // namespace

const std::vector<SettingSpec> &settingTable()
{
    static const std::vector<SettingSpec> table {
        required("node", "id", "Name of this node, as the VM list has it; a word without dots."),
        required("node", "zone", "Availability zone of this node."),
        text("node", "deployment", "default", "Name of the deployment that this node belongs to, as burn reports show it."),
        text("callers", "address", "127.0.0.1", "IP number of the caller port."),
        number("callers", "port", "", 0, MaxPort, "8080", "TCP port for callers; 0 picks a free one."),
        number("callers", "threads", "", 1, 64, "2", "Threads that serve callers."),
        number("callers", "max_body_bytes", "bytes", 1024, 1 << 30, "8388608", "Largest request body that is taken."),
        number("callers", "memory_bytes", "bytes", 16 << 20, std::int64_t(1) << 40, "2147483648",
            "Memory for callers' connections and the bodies of their requests together; beyond it large bodies are refused with 503."),
        number("callers", "max_header_bytes", "bytes", 4096, 1 << 20, "32768",
            "Largest request head that is taken; a connection has ten times as much memory."),
        number("callers", "max_connections", "", 16, 100'000, "4096", "Connections at once; more are not accepted."),
        milliseconds(
            "callers", "idle_timeout_ms", 1000, 3'600'000, "75000", "A caller's connection that is silent for this long is closed."),
        milliseconds("callers", "arrival_timeout_ms", 100, 3'600'000, "75000",
            "A request that has not arrived whole after this long is refused, and an idle connection closed."),
        text("callers", "tls_certificate", "",
            "PEM file with the certificate chain of the caller port; empty serves without TLS. Read again on SIGHUP."),
        text("callers", "tls_key", "", "PEM file with the key of tls_certificate."),
        milliseconds("callers", "address_keep_ms", 100, 600'000, "10000", "How long a caller may keep an address answer."),
        text("operator", "address", "127.0.0.1", "IP number of the operator port."),
        number(
            "operator", "port", "", 0, MaxPort, "9090", "TCP port for /metrics, /healthz, /readyz, /status and /slo; 0 picks a free one."),
        text("rpc", "address", "127.0.0.1", "IP number of the port for other nodes."),
        number("rpc", "port", "", 0, MaxPort, "0", "TCP port for other nodes, as the VM list has it; 0 picks a free one."),
        text("rpc", "advertise", "", "host:port that other nodes are told; empty means address and port."),
        text("rpc", "tls_certificate", "", "PEM file of this node's certificate. With the two below, node RPC runs over TLS."),
        text("rpc", "tls_key", "", "PEM file of its key."),
        text("rpc", "tls_authority", "", "PEM file of the authority that signed the certificates of all nodes."),
        text("rpc", "tls_name", "apricotstep-node", "DNS name that the certificate of every node carries."),
        milliseconds("rpc", "connect_timeout_ms", 10, 60'000, "1000", "Time to connect to another node and to authenticate."),
        milliseconds(
            "rpc", "call_timeout_ms", 10, 600'000, "3000", "Longest short call to another node; forwards have the caller's limits."),
        milliseconds("rpc", "ping_timeout_ms", 10, 60'000, "2000",
            "A node that serves a forwarded request counts as lost when it answers two pings in a row later than this or not at all."),
        required("platform", "config_url", "Base URL of the configuration service."),
        required("platform", "vm_list_url", "URL of the VM list."),
        milliseconds("platform", "vm_list_interval_ms", 100, 60'000, "1000", "How often the VM list is read."),
        milliseconds("platform", "watch_ms", 100, 2000, "1500",
            "How long one watch of the configuration service waits; a lost answer delays changes by as much."),
        required("fleet", "secret", "Secret that all nodes share; it signs idempotency keys. At least 16 characters."),
        text("membership", "address", "127.0.0.1", "IP number that membership datagrams are taken on."),
        number("membership", "port", "", 0, MaxPort, "0",
            "UDP port for membership datagrams; 0 picks a free one, which only suits nodes whose VM list is written afterwards."),
        text("membership", "advertise", "", "IP number under which other nodes reach this one; empty means membership.address."),
        milliseconds("membership", "probe_interval_ms", 50, 60'000, "500", "Time between two membership probes that this node sends."),
        milliseconds("membership", "probe_timeout_ms", 10, 60'000, "200",
            "Time limit for the direct answer to a probe; set it above the longest round trip between nodes."),
        milliseconds(
            "membership", "suspicion_min_ms", 100, 600'000, "1500", "A member that several nodes suspect has this long to refute."),
        milliseconds("membership", "suspicion_max_ms", 100, 600'000, "4000", "A member that one node suspects has this long to refute."),
        milliseconds("membership", "pause_gap_ms", 200, 60'000, "2000",
            "A process that was paused for this long refreshes its membership view before it bases decisions on it."),
        milliseconds("ownership", "poll_interval_ms", 100, 600'000, "1000",
            "Time between two polls of the load report of an engine that this node owns."),
        milliseconds("ownership", "report_lag_ms", 0, 600'000, "1000", "How old the content of an engine's load report may be at most."),
        milliseconds("ownership", "lease_ms", 500, 3'600'000, "4000",
            "A load report that shows this node's fencing token as the highest lets it act for this long; the value in effect is at "
            "least report_lag_ms + 2 * poll_interval_ms."),
        milliseconds("ownership", "dispatch_delay_ms", 0, 600'000, "5000",
            "An engine closes a connection on which no request arrives for this long; bounds how late a paused node's request can arrive."),
        milliseconds(
            "ownership", "clock_margin_ms", 0, 60'000, "1000", "How far the clocks of two nodes may drift apart during a takeover."),
        milliseconds("deadlines", "urgent_ms", 10, DayMs, "10000", "Time to the first token of urgent requests, unless the caller says."),
        milliseconds(
            "deadlines", "standard_ms", 10, DayMs, "60000", "Time to the first token of standard requests, unless the caller says."),
        milliseconds(
            "deadlines", "patient_ms", 10, DayMs, "3600000", "Time to the first token of patient requests, unless the caller says."),
        milliseconds("upstreams", "connect_timeout_ms", 1, 60'000, "1000", "Time to connect to an upstream."),
        milliseconds(
            "upstreams", "silence_timeout_ms", 1000, 3'600'000, "60000", "An upstream that is silent for this long in a call has failed."),
        milliseconds("upstreams", "service_timeout_ms", 10, DayMs, "30000", "Longest call to a plain service."),
        number("upstreams", "service_concurrency", "calls", 1, 100'000, "256",
            "Calls that run at once at one upstream of a plain service at most; a slow one gets fewer."),
        milliseconds("upstreams", "load_timeout_ms", 100, 600'000, "30000", "Longest load or eviction of an adapter."),
        number("scheduling", "stall_weight", "", 0, 1000, "50", "Weight of short waits for an adapter's load, against batch_weight."),
        number("scheduling", "batch_weight", "", 0, 1000, "50",
            "Weight of full batches: how long patient work waits to share a load and to leave in a fuller batch."),
        number("scheduling", "urgent_seats_percent", "%", 0, 90, "12", "Part of each engine's batch that only urgent requests take."),
        number("scheduling", "urgent_slots_percent", "%", 0, 90, "25",
            "Part of each engine's adapter slots that loads for other than urgent requests leave free."),
        number("scheduling", "store_rate", "loads/100 s", 1, 1'000'000, "200", "Adapter loads that the weight store gives to the fleet."),
        number("scheduling", "store_parallel", "loads", 1, 10'000, "1",
            "Adapter loads in flight at once in the fleet; the store serves one at a time at full speed."),
        milliseconds("scheduling", "load_time_ms", 1, 600'000, "250", "Expected time of one adapter load."),
        milliseconds("keys", "lifetime_ms", 1000, DayMs, "3600000", "How long an idempotency key is good for."),
        number("keys", "capacity", "entries", 16, 10'000'000, "100000", "One-time requests remembered at once."),
        number("keys", "max_bytes", "bytes", 4 << 20, 1 << 30, "33554432",
            "Memory for one-time requests; as much again for those of nodes that left."),
        number("keys", "max_answer_bytes", "bytes", 0, 128 << 10, "16384",
            "A longer answer to a one-time request is remembered as its status, hash and size."),
        milliseconds("shutdown", "linger_ms", 0, 600'000, "3000",
            "After SIGTERM new requests are still served for this long, while callers learn other addresses."),
        number("objectives", "urgent_target", "1/10000", 1, 9999, "9900",
            "Share of good events that is the objective for urgent completions."),
        milliseconds("objectives", "urgent_first_token_ms", 0, DayMs, "10000", "A first token after this is bad; 0 sets no limit."),
        number("objectives", "standard_target", "1/10000", 1, 9999, "9900",
            "Share of good events that is the objective for standard completions."),
        milliseconds("objectives", "standard_first_token_ms", 0, DayMs, "60000", "A first token after this is bad; 0 sets no limit."),
        number("objectives", "patient_target", "1/10000", 1, 9999, "9900",
            "Share of good events that is the objective for patient completions."),
        milliseconds("objectives", "patient_first_token_ms", 0, DayMs, "0", "A first token after this is bad; 0 sets no limit."),
        number("objectives", "service_target", "1/10000", 1, 9999, "9990",
            "Share of good events that is the objective for calls to plain services."),
        milliseconds("objectives", "service_answer_ms", 0, DayMs, "30000", "An answer after this is bad; 0 sets no limit."),
        text("log", "level", "info", "debug, info, warn or error."),
        text("log", "format", "text", "text or json."),
    };
    return table;
}

} // namespace ApricotStep
