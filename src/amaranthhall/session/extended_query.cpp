#include "amaranthhall/session/extended_query.hpp"

#include "amaranthhall/pgwire/fields.hpp"
#include "amaranthhall/pgwire/frame_writer.hpp"
#include "amaranthhall/session/refused_kinds.hpp"

#include <algorithm>

namespace amaranthhall::session {

namespace {

    tl::unexpected<pgwire::ErrorFields> fail(std::string_view sqlstate, const std::string& message)
    {
        return tl::unexpected(pgwire::makeError("ERROR", sqlstate, message));
    }

    tl::unexpected<pgwire::ErrorFields> malformed()
    {
        return fail("08P01", "invalid message format");
    }

    std::string bareFrame(char type)
    {
        pgwire::FrameWriter writer;
        writer.add(type, "");
        return writer.bytes();
    }

    bool readFormats(pgwire::FieldReader& fields, std::vector<std::int16_t>& formats)
    {
        const auto count = fields.int16();
        if (!count || *count < 0)
            return false;
        for (int i = 0; i < *count; ++i) {
            const auto format = fields.int16();
            if (!format || *format < 0 || *format > 1)
                return false;
            formats.push_back(*format);
        }
        return true;
    }

    bool readParameters(pgwire::FieldReader& fields, std::vector<std::optional<std::string>>& parameters)
    {
        const auto count = fields.int16();
        if (!count)
            return false;
        for (int i = 0; i < static_cast<std::uint16_t>(*count); ++i) {
            const auto length = fields.int32();
            if (!length || *length < -1)
                return false;
            if (*length < 0) {
                parameters.emplace_back();
                continue;
            }
            const auto value = fields.bytes(static_cast<std::size_t>(*length));
            if (!value)
                return false;
            parameters.emplace_back(std::string(*value));
        }
        return true;
    }

    bool isUniform(const std::vector<std::int16_t>& formats) noexcept
    {
        return std::adjacent_find(formats.begin(), formats.end(), std::not_equal_to<>()) == formats.end();
    }

}

MessageResult ExtendedQuery::parse(std::string_view body, statement::Classifier& classifier, std::span<const std::string> safeFunctions)
{
    pgwire::FieldReader fields(body);
    const auto name = fields.text();
    const auto text = fields.text();
    const auto count = fields.int16();
    if (!name || !text || !count || *count < 0)
        return malformed();
    auto parsed = std::make_shared<Prepared>();
    for (int i = 0; i < *count; ++i) {
        const auto type = fields.int32();
        if (!type)
            return malformed();
        parsed->types.push_back(static_cast<std::uint32_t>(*type));
    }
    if (!name->empty() && this->prepared.contains(std::string(*name)))
        return fail("42P05", "prepared statement \"" + std::string(*name) + "\" already exists");
    const auto statements = classifier.classify(*text, safeFunctions);
    if (statements->size() > 1)
        return fail("42601", "cannot insert multiple commands into a prepared statement");
    parsed->text = *text;
    parsed->statement = statements->front();
    this->validate();
    this->describeWaiting();
    this->prepared[std::string(*name)] = parsed;
    this->unvalidated = std::move(parsed);
    this->prefix += bareFrame('1');
    return {};
}

MessageResult ExtendedQuery::bind(std::string_view body)
{
    pgwire::FieldReader fields(body);
    const auto portalName = fields.text();
    const auto name = fields.text();
    Portal portal;
    if (!portalName || !name || !readFormats(fields, portal.parameterFormats) || !readParameters(fields, portal.parameters) || !readFormats(fields, portal.resultFormats))
        return malformed();
    const auto found = this->prepared.find(std::string(*name));
    if (found == this->prepared.end())
        return fail("26000", "prepared statement \"" + std::string(*name) + "\" does not exist");
    if (portal.parameterFormats.size() > 1 && portal.parameterFormats.size() != portal.parameters.size())
        return fail("08P01", "bind message has " + std::to_string(portal.parameterFormats.size()) + " parameter formats but " + std::to_string(portal.parameters.size()) + " parameters");
    if (!isUniform(portal.resultFormats))
        return fail("0A000", "not run: result columns of different formats are not supported; ask for text or for binary");
    this->describeWaiting();
    portal.prepared = found->second;
    if (this->unvalidated != portal.prepared)
        this->validate();
    this->portals[std::string(*portalName)] = std::move(portal);
    this->prefix += bareFrame('2');
    return {};
}

MessageResult ExtendedQuery::describe(std::string_view body)
{
    pgwire::FieldReader fields(body);
    const auto kind = fields.byte();
    const auto name = fields.text();
    if (!kind || !name || (*kind != 'S' && *kind != 'P'))
        return malformed();
    this->describeWaiting();
    if (*kind == 'P') {
        if (!this->portals.contains(std::string(*name)))
            return fail("34000", "portal \"" + std::string(*name) + "\" does not exist");
        this->toDescribe = std::string(*name);
        return {};
    }
    const auto found = this->prepared.find(std::string(*name));
    if (found == this->prepared.end())
        return fail("26000", "prepared statement \"" + std::string(*name) + "\" does not exist");
    if (this->unvalidated != found->second)
        this->validate();
    this->unvalidated.reset();
    this->addDescription(found->second, ReplyKind::Statement, {});
    return {};
}

MessageResult ExtendedQuery::execute(std::string_view body, const LocalAnswer& answerLocally)
{
    pgwire::FieldReader fields(body);
    const auto name = fields.text();
    const auto rowLimit = fields.int32();
    if (!name || !rowLimit)
        return malformed();
    const auto found = this->portals.find(std::string(*name));
    if (found == this->portals.end())
        return fail("34000", "portal \"" + std::string(*name) + "\" does not exist");
    const auto& portal = found->second;
    const auto& statement = portal.prepared->statement;
    if (statement.kind == statement::StatementKind::Copy)
        return fail("0A000", "not run: COPY is supported by the simple query protocol only");
    const auto local = answerLocally(statement);
    if (!local)
        return tl::unexpected(local.error());
    const bool isDescribed = this->toDescribe == found->first;
    if (*local) {
        this->toDescribe.reset();
        this->unvalidated.reset();
        if (isDescribed)
            this->prefix += bareFrame('n');
        this->prefix += **local;
        return {};
    }
    if (isDescribed)
        this->toDescribe.reset();
    else
        this->describeWaiting();
    if (this->unvalidated == portal.prepared)
        this->unvalidated.reset();
    Step step {
        .query = {
            .text = portal.prepared->text,
            .parameterTypes = portal.prepared->types,
            .parameters = portal.parameters,
            .parameterFormats = portal.parameterFormats,
            .resultFormat = portal.resultFormats.empty() ? std::int16_t { 0 } : portal.resultFormats.front(),
        },
        .statement = statement,
        .describesRows = isDescribed,
        .saysNoData = true,
        .rowLimit = *rowLimit,
        .portal = found->first,
    };
    this->addStep(std::move(step));
    return {};
}

tl::expected<std::optional<std::string>, pgwire::ErrorFields> ExtendedQuery::close(std::string_view body)
{
    pgwire::FieldReader fields(body);
    const auto kind = fields.byte();
    const auto name = fields.text();
    if (!kind || !name || (*kind != 'S' && *kind != 'P'))
        return malformed();
    this->describeWaiting();
    std::optional<std::string> closed;
    if (*kind == 'S') {
        this->validate();
        this->prepared.erase(std::string(*name));
    } else {
        this->portals.erase(std::string(*name));
        closed = std::string(*name);
    }
    this->prefix += bareFrame('3');
    return closed;
}

Work ExtendedQuery::takeWork()
{
    this->describeWaiting();
    this->validate();
    Work work { .steps = std::move(this->steps), .suffix = this->takePrefix() };
    this->steps.clear();
    return work;
}

void ExtendedQuery::dropWork()
{
    this->steps.clear();
    this->prefix.clear();
    this->unvalidated.reset();
    this->toDescribe.reset();
}

void ExtendedQuery::deallocate(const std::string& name)
{
    if (name.empty())
        this->prepared.clear();
    else
        this->prepared.erase(name);
}

// A statement that is parsed and not run has to be seen by an upstream all the same, for its errors.
void ExtendedQuery::validate()
{
    if (!this->unvalidated)
        return;
    const auto parsed = std::exchange(this->unvalidated, nullptr);
    if (isOwnStatement(parsed->statement))
        return;
    this->addStep({
        .query = { .kind = upstream::QueryKind::Prepare, .text = parsed->text, .parameterTypes = parsed->types },
        .statement = parsed->statement,
        .reply = ReplyKind::Nothing,
    });
}

void ExtendedQuery::describeWaiting()
{
    if (!this->toDescribe)
        return;
    const auto found = this->portals.find(*std::exchange(this->toDescribe, std::nullopt));
    if (found == this->portals.end())
        return;
    if (this->unvalidated == found->second.prepared)
        this->unvalidated.reset();
    this->addDescription(found->second.prepared, ReplyKind::Portal, found->second.resultFormats);
}

void ExtendedQuery::addDescription(const PreparedHandle& described, ReplyKind reply, const std::vector<std::int16_t>& formats)
{
    this->addStep({
        .query = { .kind = upstream::QueryKind::Prepare, .text = described->text, .parameterTypes = described->types },
        .statement = described->statement,
        .reply = ReplyKind::Nothing,
    });
    this->addStep({
        .query = { .kind = upstream::QueryKind::DescribePrepared },
        .statement = described->statement,
        .reply = reply,
        .saysNoData = true,
        .formats = formats,
    });
}

Step& ExtendedQuery::addStep(Step step)
{
    step.prefix = this->takePrefix();
    this->steps.push_back(std::move(step));
    return this->steps.back();
}

std::string ExtendedQuery::takePrefix()
{
    return std::exchange(this->prefix, {});
}

}
