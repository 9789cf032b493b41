#pragma once

#include <chrono>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace tarragontrail::observe {

/// Everything that one entry instance counts; safe to use from every thread.
class metrics
{
public:
    metrics();

    /// Source for the exposer.
    const std::shared_ptr<prometheus::Registry>& registry() const noexcept { return m_registry; }

    /// Counts a request by what became of it.
    void count_request(const std::string& outcome);

    /// Counts a routing decision by its reason.
    void count_decision(const std::string& reason);

    /// Counts a refusal by limits, by its reason.
    void count_limit_refusal(const std::string& reason);

    /// Notes the time to first token of one request.
    void note_first_token(std::chrono::nanoseconds time);

    /// Notes what an engine reported of one prompt.
    void note_prompt(std::uint64_t prompt_tokens, std::uint64_t cached_tokens);

    /// Counts a retry or a resumed stream.
    void count_retry(const std::string& kind);

    /// Counts an upstream's response by its framing and by what ended it.
    void count_upstream_response(const std::string& framing, const std::string& end);

    /// Counts an upstream's response that does not prove to answer the request, by what it is.
    void count_unproven_response(const std::string& kind);

    /// Counts a document from outside that could not be read, by its reader.
    void count_refused_document(const std::string& reader);

    /// Counts a stream that a caller takes up, by what told its version.
    void count_taken_up_stream(const std::string& known_by);

    /// Counts what upstreams say of themselves in answers, by what it is.
    void count_upstream_notice(const std::string& kind);

    /// Sets a gauge of the control duties, for example messages or bytes by role.
    void set_control(const std::string& name, double value);

private:
    std::shared_ptr<prometheus::Registry> m_registry;              ///< All families.
    prometheus::Family<prometheus::Counter>& m_requests;           ///< By outcome.
    prometheus::Family<prometheus::Counter>& m_decisions;          ///< By reason.
    prometheus::Family<prometheus::Counter>& m_limit_refusals;     ///< By reason.
    prometheus::Family<prometheus::Counter>& m_retries;            ///< By kind.
    prometheus::Family<prometheus::Counter>& m_prompt_tokens;      ///< Cached or recomputed.
    prometheus::Family<prometheus::Counter>& m_upstream_responses; ///< By framing and end.
    prometheus::Family<prometheus::Counter>& m_unproven_responses; ///< By kind.
    prometheus::Family<prometheus::Counter>& m_refused_documents;  ///< By reader.
    prometheus::Family<prometheus::Counter>& m_taken_up_streams;   ///< By evidence of the version.
    prometheus::Family<prometheus::Counter>& m_upstream_notices;   ///< By kind.
    prometheus::Family<prometheus::Gauge>& m_control;              ///< By name.
    prometheus::Histogram& m_first_token;                          ///< Seconds.
};

} // namespace tarragontrail::observe
