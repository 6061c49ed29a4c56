#include <rattanbay/telemetry/metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace rattanbay::telemetry {

namespace {

const prometheus::Histogram::BucketBoundaries& latency_buckets() {
    static const prometheus::Histogram::BucketBoundaries seconds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                                 0.25,  0.5,    1.0,   2.0,  4.0,   8.0};
    return seconds;
}

double to_seconds(base::duration duration) {
    return std::chrono::duration<double>(duration).count();
}

} // namespace

class metrics::state {
public:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests = prometheus::BuildCounter()
                                                            .Name("rattanbay_requests_total")
                                                            .Help("Requests by pipeline and result")
                                                            .Register(registry);
    prometheus::Family<prometheus::Histogram>& request_seconds = prometheus::BuildHistogram()
                                                                     .Name("rattanbay_request_seconds")
                                                                     .Help("Time of answered requests")
                                                                     .Register(registry);
    prometheus::Family<prometheus::Counter>& attempts = prometheus::BuildCounter()
                                                            .Name("rattanbay_attempts_total")
                                                            .Help("Attempts by service, result and distance")
                                                            .Register(registry);
    prometheus::Family<prometheus::Counter>& endpoint_seconds =
        prometheus::BuildCounter()
            .Name("rattanbay_endpoint_seconds_total")
            .Help("Endpoint time by service and result")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& endpoint_bytes = prometheus::BuildCounter()
                                                                  .Name("rattanbay_endpoint_bytes_total")
                                                                  .Help("Bytes exchanged with endpoints")
                                                                  .Register(registry);
    prometheus::Family<prometheus::Counter>& tokens = prometheus::BuildCounter()
                                                          .Name("rattanbay_tokens_total")
                                                          .Help("Tokens sent to callers")
                                                          .Register(registry);
    prometheus::Family<prometheus::Counter>& platform_calls = prometheus::BuildCounter()
                                                                  .Name("rattanbay_platform_calls_total")
                                                                  .Help("Platform calls by kind and result")
                                                                  .Register(registry);
    prometheus::Family<prometheus::Counter>& peer_traffic = prometheus::BuildCounter()
                                                                .Name("rattanbay_peer_bytes_total")
                                                                .Help("Control traffic between daemons")
                                                                .Register(registry);
    prometheus::Family<prometheus::Counter>& vm_list_answers = prometheus::BuildCounter()
                                                                   .Name("rattanbay_vm_list_answers_total")
                                                                   .Help("Answers about the VM list")
                                                                   .Register(registry);
    prometheus::Family<prometheus::Counter>& resumptions =
        prometheus::BuildCounter()
            .Name("rattanbay_stream_resumptions_total")
            .Help("Streams that clients took up again, by how their version was found and result")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& piece_calls = prometheus::BuildCounter()
                                                               .Name("rattanbay_piece_calls_total")
                                                               .Help("Calls to worker pools by result")
                                                               .Register(registry);
    prometheus::Family<prometheus::Counter>& stages = prometheus::BuildCounter()
                                                          .Name("rattanbay_stages_total")
                                                          .Help("Stages of requests by scheduler and result")
                                                          .Register(registry);
    prometheus::Family<prometheus::Counter>& scheduler_failovers =
        prometheus::BuildCounter()
            .Name("rattanbay_scheduler_failovers_total")
            .Help("Stages handed to another scheduler after no answer")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& closed_connections =
        prometheus::BuildCounter()
            .Name("rattanbay_closed_connections_total")
            .Help("Ended client connections by reason")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& oversized_responses =
        prometheus::BuildCounter()
            .Name("rattanbay_oversized_responses_total")
            .Help("Responses that were given up because of their size")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& unused_results =
        prometheus::BuildCounter()
            .Name("rattanbay_unused_results_total")
            .Help("Results of pieces that no request needed any more")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& waiting_pieces =
        prometheus::BuildGauge()
            .Name("rattanbay_waiting_pieces")
            .Help("Pieces that wait at the scheduler of a worker pool")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& scheduled_endpoints =
        prometheus::BuildGauge()
            .Name("rattanbay_scheduled_endpoints")
            .Help("Endpoints of a worker pool that the daemon schedules")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& held_bytes = prometheus::BuildGauge()
                                                            .Name("rattanbay_held_bytes")
                                                            .Help("Memory held for others by use")
                                                            .Register(registry);
    prometheus::Family<prometheus::Gauge>& connections = prometheus::BuildGauge()
                                                             .Name("rattanbay_connections")
                                                             .Help("Open connections by use")
                                                             .Register(registry);
    prometheus::Counter& resource_rejections =
        prometheus::BuildCounter()
            .Name("rattanbay_resource_rejections_total")
            .Help("Requests and connections rejected for want of memory or descriptors")
            .Register(registry)
            .Add({});
    prometheus::Family<prometheus::Counter>& documents = prometheus::BuildCounter()
                                                             .Name("rattanbay_documents_total")
                                                             .Help("Offered documents by result")
                                                             .Register(registry);
    prometheus::Gauge& document_revision = prometheus::BuildGauge()
                                               .Name("rattanbay_document_revision")
                                               .Help("Revision of the document in force")
                                               .Register(registry)
                                               .Add({});
    prometheus::Gauge& highest_document_revision =
        prometheus::BuildGauge()
            .Name("rattanbay_highest_document_revision")
            .Help("Highest revision of a document that was offered or announced")
            .Register(registry)
            .Add({});
    prometheus::Gauge& unusable_document_parts =
        prometheus::BuildGauge()
            .Name("rattanbay_unusable_document_parts")
            .Help("Errors in parts of the document in force that are left out")
            .Register(registry)
            .Add({});
    prometheus::Gauge& limited_endpoints = prometheus::BuildGauge()
                                               .Name("rattanbay_limited_endpoints")
                                               .Help("Endpoints that limit the requests of all daemons")
                                               .Register(registry)
                                               .Add({});
    prometheus::Gauge& evacuated_domains = prometheus::BuildGauge()
                                               .Name("rattanbay_evacuated_domains")
                                               .Help("Failure domains to which nothing more is sent")
                                               .Register(registry)
                                               .Add({});
    prometheus::Gauge& cold_endpoints = prometheus::BuildGauge()
                                            .Name("rattanbay_cold_endpoints")
                                            .Help("Endpoints that are or are presumed to be cold")
                                            .Register(registry)
                                            .Add({});
    prometheus::Gauge& distinct_engines =
        prometheus::BuildGauge()
            .Name("rattanbay_distinct_engines")
            .Help("Engines that get another share of requests because of their speed")
            .Register(registry)
            .Add({});
    prometheus::Histogram& loop_delay_seconds =
        prometheus::BuildHistogram()
            .Name("rattanbay_loop_delay_seconds")
            .Help("Time by which a periodic task of the control thread was late")
            .Register(registry)
            .Add({}, latency_buckets());
    prometheus::Gauge& vm_list_version = prometheus::BuildGauge()
                                             .Name("rattanbay_vm_list_version")
                                             .Help("Version of the VM list that the platform confirmed last")
                                             .Register(registry)
                                             .Add({});
    prometheus::Gauge& vm_list_confirmed = prometheus::BuildGauge()
                                               .Name("rattanbay_vm_list_confirmed_timestamp_seconds")
                                               .Help("Time of the last answer about the VM list")
                                               .Register(registry)
                                               .Add({});
};

metrics::metrics()
    : state_(std::make_unique<state>()) {}

metrics::~metrics() = default;

void metrics::record_request(const base::pipeline_name& pipeline, std::string_view result,
                             base::duration duration) {
    state_->requests.Add({{"pipeline", pipeline.text()}, {"result", std::string(result)}}).Increment();
    if (result == "answered") {
        state_->request_seconds.Add({{"pipeline", pipeline.text()}}, latency_buckets())
            .Observe(to_seconds(duration));
    }
}

void metrics::record_attempt(const base::service_name& service, std::string_view result,
                             base::duration duration, bool cross_domain, std::size_t bytes) {
    const std::string distance = cross_domain ? "other_domain" : "same_domain";
    const prometheus::Labels labels{
        {"service", service.text()}, {"result", std::string(result)}, {"distance", distance}};
    state_->attempts.Add(labels).Increment();
    state_->endpoint_seconds.Add(labels).Increment(to_seconds(duration));
    state_->endpoint_bytes.Add(labels).Increment(static_cast<double>(bytes));
}

void metrics::add_tokens(const base::pipeline_name& pipeline, std::uint64_t count) {
    state_->tokens.Add({{"pipeline", pipeline.text()}}).Increment(static_cast<double>(count));
}

void metrics::record_platform_call(std::string_view kind, bool succeeded) {
    state_->platform_calls.Add({{"kind", std::string(kind)}, {"result", succeeded ? "succeeded" : "failed"}})
        .Increment();
}

void metrics::record_vm_list_answer(std::string_view call, std::string_view result) {
    state_->vm_list_answers.Add({{"call", std::string(call)}, {"result", std::string(result)}}).Increment();
}

void metrics::set_vm_list_confirmed(std::uint64_t version, std::int64_t wall_us) {
    constexpr double microseconds_per_second = 1e6;
    state_->vm_list_version.Set(static_cast<double>(version));
    state_->vm_list_confirmed.Set(static_cast<double>(wall_us) / microseconds_per_second);
}

void metrics::record_document(std::string_view result) {
    state_->documents.Add({{"result", std::string(result)}}).Increment();
}

void metrics::set_document_revisions(std::uint64_t in_force, std::uint64_t highest_seen) {
    state_->document_revision.Set(static_cast<double>(in_force));
    state_->highest_document_revision.Set(static_cast<double>(highest_seen));
}

void metrics::set_unusable_document_parts(std::size_t count) {
    state_->unusable_document_parts.Set(static_cast<double>(count));
}

void metrics::set_evacuated_domains(std::size_t count) {
    state_->evacuated_domains.Set(static_cast<double>(count));
}

void metrics::set_distinct_engines(std::size_t count) {
    state_->distinct_engines.Set(static_cast<double>(count));
}

void metrics::set_limited_endpoints(std::size_t count) {
    state_->limited_endpoints.Set(static_cast<double>(count));
}

void metrics::set_cold_endpoints(std::size_t count) {
    state_->cold_endpoints.Set(static_cast<double>(count));
}

void metrics::record_loop_delay(base::duration delay) {
    state_->loop_delay_seconds.Observe(to_seconds(delay));
}

void metrics::record_piece_call(const base::service_name& service, std::string_view result) {
    state_->piece_calls.Add({{"service", service.text()}, {"result", std::string(result)}}).Increment();
}

void metrics::record_resumption(std::string_view basis, bool is_allowed) {
    state_->resumptions.Add({{"basis", std::string(basis)}, {"result", is_allowed ? "allowed" : "refused"}})
        .Increment();
}

void metrics::record_stage(const base::service_name& service, std::string_view scheduler,
                           std::string_view result) {
    state_->stages
        .Add({{"service", service.text()},
              {"scheduler", std::string(scheduler)},
              {"result", std::string(result)}})
        .Increment();
}

void metrics::record_scheduler_failover(const base::service_name& service) {
    state_->scheduler_failovers.Add({{"service", service.text()}}).Increment();
}

void metrics::record_closed_connection(std::string_view reason) {
    state_->closed_connections.Add({{"reason", std::string(reason)}}).Increment();
}

void metrics::record_oversized_response(std::string_view server) {
    state_->oversized_responses.Add({{"server", std::string(server)}}).Increment();
}

void metrics::add_unused_results(const base::service_name& service, std::size_t count) {
    state_->unused_results.Add({{"service", service.text()}}).Increment(static_cast<double>(count));
}

void metrics::set_waiting_pieces(const base::service_name& service, std::size_t count) {
    state_->waiting_pieces.Add({{"service", service.text()}}).Set(static_cast<double>(count));
}

void metrics::set_scheduled_endpoints(const base::service_name& service, std::size_t count) {
    state_->scheduled_endpoints.Add({{"service", service.text()}}).Set(static_cast<double>(count));
}

void metrics::set_held_bytes(std::string_view use, std::size_t bytes) {
    state_->held_bytes.Add({{"use", std::string(use)}}).Set(static_cast<double>(bytes));
}

void metrics::set_connections(std::string_view use, std::size_t count) {
    state_->connections.Add({{"use", std::string(use)}}).Set(static_cast<double>(count));
}

void metrics::add_resource_rejections(std::uint64_t count) {
    state_->resource_rejections.Increment(static_cast<double>(count));
}

void metrics::add_peer_bytes(std::string_view direction, std::size_t count) {
    state_->peer_traffic.Add({{"direction", std::string(direction)}}).Increment(static_cast<double>(count));
}

std::string metrics::to_prometheus_text() const {
    return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

} // namespace rattanbay::telemetry
