#include "amaranthhall/telemetry/json_tracer.hpp"

#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <spdlog/fmt/fmt.h>

namespace amaranthhall::telemetry {

namespace {

    using Json = nlohmann::ordered_json;
    using Micros = std::chrono::microseconds;

    constexpr auto traceparentHeader = "traceparent";

    /// Setting the lowest bit avoids an identifier of all zeros, which W3C Trace Context forbids.
    std::string randomHex(Random& random, std::size_t words)
    {
        std::string text;
        for (std::size_t i = 0; i < words; ++i)
            text += fmt::format("{:016x}", random() | 1U);
        return text;
    }

    const TraceContext* findParent(const opentracing::StartSpanOptions& options)
    {
        for (const auto& [kind, context] : options.references) {
            if (const auto* jsonContext = dynamic_cast<const JsonSpanContext*>(context))
                return &jsonContext->context();
        }
        return nullptr;
    }

    /// Converts a tag's value to JSON; composite values become null.
    struct TagValueEncoder {
        Json operator()(bool value) const { return value; }
        Json operator()(double value) const { return value; }
        Json operator()(std::int64_t value) const { return value; }
        Json operator()(std::uint64_t value) const { return value; }
        Json operator()(const std::string& value) const { return value; }
        Json operator()(const char* value) const { return value; }
        template <typename Other>
        Json operator()(const Other&) const { return nullptr; }
    };

    Json encodeTagValue(const opentracing::Value& value)
    {
        return opentracing::util::apply_visitor(TagValueEncoder {}, static_cast<const opentracing::variant_type&>(value));
    }

    class JsonSpan final : public opentracing::Span {
    public:
        JsonSpan(std::shared_ptr<const JsonTracer> owner, std::string operation, const TraceContext* parent, TraceContext traceContext)
            : owner(std::move(owner))
            , operation(std::move(operation))
            , parentId(parent ? parent->spanId : "")
            , spanContext(std::move(traceContext))
            , wallStart(std::chrono::system_clock::now())
            , start(std::chrono::steady_clock::now())
        {
        }
        ~JsonSpan() override { this->Finish(); }
        JsonSpan(const JsonSpan&) = delete;
        JsonSpan& operator=(const JsonSpan&) = delete;

        void FinishWithOptions(const opentracing::FinishSpanOptions&) noexcept override
        {
            if (this->isFinished)
                return;
            this->isFinished = true;
            if (!this->spanContext.context().isSampled)
                return;
            Json line;
            line["trace"] = this->spanContext.context().traceId;
            line["span"] = this->spanContext.context().spanId;
            if (!this->parentId.empty())
                line["parent"] = this->parentId;
            line["name"] = this->operation;
            line["start_us"] = std::chrono::duration_cast<Micros>(this->wallStart.time_since_epoch()).count();
            line["length_us"] = std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now() - this->start).count();
            if (!this->tags.empty())
                line["tags"] = this->tags;
            this->owner->record(line.dump(-1, ' ', false, Json::error_handler_t::replace));
        }
        void SetOperationName(opentracing::string_view name) noexcept override { this->operation = std::string(name); }
        void SetTag(opentracing::string_view key, const opentracing::Value& value) noexcept override { this->tags[std::string(key)] = encodeTagValue(value); }
        void SetBaggageItem(opentracing::string_view, opentracing::string_view) noexcept override { }
        [[nodiscard]] std::string BaggageItem(opentracing::string_view) const noexcept override { return {}; }
        void Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>) noexcept override { }
        void Log(opentracing::SystemTime, std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>) noexcept override { }
        void Log(opentracing::SystemTime, const std::vector<std::pair<opentracing::string_view, opentracing::Value>>&) noexcept override { }
        [[nodiscard]] const opentracing::SpanContext& context() const noexcept override { return this->spanContext; }
        [[nodiscard]] const opentracing::Tracer& tracer() const noexcept override { return *this->owner; }

    private:
        std::shared_ptr<const JsonTracer> owner;
        std::string operation;
        std::string parentId;
        JsonSpanContext spanContext;
        std::chrono::system_clock::time_point wallStart;
        std::chrono::steady_clock::time_point start;
        Json tags = Json::object();
        bool isFinished { false };
    };

    std::string encodeContext(const opentracing::SpanContext& context)
    {
        const auto* jsonContext = dynamic_cast<const JsonSpanContext*>(&context);
        return jsonContext ? formatTraceparent(jsonContext->context()) : std::string();
    }

    std::unique_ptr<opentracing::SpanContext> decodeContext(std::string_view text)
    {
        auto parsed = parseTraceparent(text);
        return parsed ? std::make_unique<JsonSpanContext>(*std::move(parsed)) : nullptr;
    }

    template <typename Reader>
    std::unique_ptr<opentracing::SpanContext> readContext(const Reader& reader)
    {
        std::unique_ptr<opentracing::SpanContext> found;
        static_cast<void>(reader.ForeachKey([&](opentracing::string_view key, opentracing::string_view value) -> opentracing::expected<void> {
            if (std::string_view(key.data(), key.size()) == traceparentHeader)
                found = decodeContext({ value.data(), value.size() });
            return {};
        }));
        return found;
    }

}

JsonTracer::JsonTracer(Recorder usedRecorder, Random usedRandom)
    : recorder(std::move(usedRecorder))
    , random(usedRandom)
{
}

std::unique_ptr<opentracing::Span> JsonTracer::StartSpanWithOptions(opentracing::string_view operation, const opentracing::StartSpanOptions& options) const noexcept
{
    const auto* parent = findParent(options);
    TraceContext traceContext { .traceId = parent ? parent->traceId : randomHex(this->random, 2), .spanId = randomHex(this->random, 1), .isSampled = !parent || parent->isSampled };
    return std::make_unique<JsonSpan>(this->shared_from_this(), std::string(operation), parent, std::move(traceContext));
}

opentracing::expected<void> JsonTracer::Inject(const opentracing::SpanContext& context, std::ostream& writer) const
{
    writer << encodeContext(context);
    return {};
}

opentracing::expected<void> JsonTracer::Inject(const opentracing::SpanContext& context, const opentracing::TextMapWriter& writer) const
{
    return writer.Set(traceparentHeader, encodeContext(context));
}

opentracing::expected<void> JsonTracer::Inject(const opentracing::SpanContext& context, const opentracing::HTTPHeadersWriter& writer) const
{
    return writer.Set(traceparentHeader, encodeContext(context));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> JsonTracer::Extract(std::istream& reader) const
{
    std::string text;
    reader >> text;
    return decodeContext(text);
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> JsonTracer::Extract(const opentracing::TextMapReader& reader) const
{
    return readContext(reader);
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> JsonTracer::Extract(const opentracing::HTTPHeadersReader& reader) const
{
    return readContext(reader);
}

}
