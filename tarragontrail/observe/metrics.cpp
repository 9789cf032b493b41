#include "tarragontrail/observe/metrics.hpp"

namespace tarragontrail::observe {
namespace {

prometheus::Family<prometheus::Counter>& counter_family(prometheus::Registry& registry,
                                                        const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Histogram& first_token_histogram(prometheus::Registry& registry)
{
    const prometheus::Histogram::BucketBoundaries seconds{0.01, 0.025, 0.05, 0.1, 0.2,  0.4, 0.8,
                                                          1.3,  2.0,   4.0,  8.0, 16.0, 32.0};
    return prometheus::BuildHistogram()
        .Name("tarragontrail_first_token_seconds")
        .Help("Time from a request's arrival to its first token")
        .Register(registry)
        .Add({}, seconds);
}

} // namespace

metrics::metrics()
    : m_registry(std::make_shared<prometheus::Registry>()),
      m_requests(counter_family(*m_registry, "tarragontrail_requests_total",
                                "Requests by what became of them")),
      m_decisions(counter_family(*m_registry, "tarragontrail_routing_decisions_total",
                                 "Routing decisions by reason")),
      m_limit_refusals(counter_family(*m_registry, "tarragontrail_limit_refusals_total",
                                      "Requests refused by limits, by reason")),
      m_retries(counter_family(*m_registry, "tarragontrail_retries_total",
                               "Retries and resumed streams")),
      m_prompt_tokens(counter_family(*m_registry, "tarragontrail_prompt_tokens_total",
                                     "Prompt tokens that engines had cached or recomputed")),
      m_upstream_responses(counter_family(*m_registry, "tarragontrail_upstream_responses_total",
                                          "Responses of upstreams by framing and end")),
      m_unproven_responses(
          counter_family(*m_registry, "tarragontrail_unproven_responses_total",
                         "Responses of upstreams that do not prove to answer their request")),
      m_refused_documents(counter_family(*m_registry, "tarragontrail_refused_documents_total",
                                         "Documents from outside that could not be read")),
      m_taken_up_streams(
          counter_family(*m_registry, "tarragontrail_taken_up_streams_total",
                         "Streams that callers took up, by what told their software version")),
      m_upstream_notices(
          counter_family(*m_registry, "tarragontrail_upstream_notices_total",
                         "What upstreams say of themselves in answers, by what it is")),
      m_control(prometheus::BuildGauge()
                    .Name("tarragontrail_control")
                    .Help("State and traffic of the control duties")
                    .Register(*m_registry)),
      m_first_token(first_token_histogram(*m_registry))
{}

void metrics::count_request(const std::string& outcome)
{
    m_requests.Add({{"outcome", outcome}}).Increment();
}

void metrics::count_decision(const std::string& reason)
{
    m_decisions.Add({{"reason", reason}}).Increment();
}

void metrics::count_limit_refusal(const std::string& reason)
{
    m_limit_refusals.Add({{"reason", reason}}).Increment();
}

void metrics::note_first_token(std::chrono::nanoseconds time)
{
    m_first_token.Observe(std::chrono::duration<double>(time).count());
}

void metrics::note_prompt(std::uint64_t prompt_tokens, std::uint64_t cached_tokens)
{
    const std::uint64_t cached = std::min(prompt_tokens, cached_tokens);
    m_prompt_tokens.Add({{"kind", "cached"}}).Increment(static_cast<double>(cached));
    m_prompt_tokens.Add({{"kind", "recomputed"}})
        .Increment(static_cast<double>(prompt_tokens - cached));
}

void metrics::count_retry(const std::string& kind)
{
    m_retries.Add({{"kind", kind}}).Increment();
}

void metrics::count_upstream_response(const std::string& framing, const std::string& end)
{
    m_upstream_responses.Add({{"framing", framing}, {"end", end}}).Increment();
}

void metrics::count_unproven_response(const std::string& kind)
{
    m_unproven_responses.Add({{"kind", kind}}).Increment();
}

void metrics::count_refused_document(const std::string& reader)
{
    m_refused_documents.Add({{"reader", reader}}).Increment();
}

void metrics::count_upstream_notice(const std::string& kind)
{
    m_upstream_notices.Add({{"kind", kind}}).Increment();
}

void metrics::count_taken_up_stream(const std::string& known_by)
{
    m_taken_up_streams.Add({{"known_by", known_by}}).Increment();
}

void metrics::set_control(const std::string& name, double value)
{
    m_control.Add({{"name", name}}).Set(value);
}

} // namespace tarragontrail::observe
