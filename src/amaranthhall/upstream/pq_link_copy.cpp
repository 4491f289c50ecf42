#include "amaranthhall/upstream/pq_link.hpp"
#include "amaranthhall/upstream/pq_result.hpp"

namespace amaranthhall::upstream {

namespace {

    struct CopyBufferCloser {
        void operator()(char* buffer) const noexcept { PQfreemem(buffer); }
    };

    std::vector<std::int16_t> readCopyFormats(const PGresult& result)
    {
        std::vector<std::int16_t> formats;
        for (int i = 0; i < PQnfields(&result); ++i)
            formats.push_back(static_cast<std::int16_t>(PQfformat(&result, i)));
        return formats;
    }

}

void PqLink::runCopy(const std::string& text, ResultSink& usedSink)
{
    this->beginBatch(usedSink, 1);
    this->copyPhase = CopyPhase::Started;
    this->copiedIn = false;
    auto* raw = this->connection.get();
    if (this->hasBroken || PQexitPipelineMode(raw) != 1 || PQsendQuery(raw, text.c_str()) != 1) {
        this->endLater();
        return;
    }
    this->end.sent = true;
    this->beginQuery();
    this->flush();
}

bool PqLink::sendCopyData(std::string_view data)
{
    if (this->copyPhase != CopyPhase::In || this->hasBroken)
        return true;
    if (PQputCopyData(this->connection.get(), data.data(), static_cast<int>(data.size())) != 1) {
        this->endLater();
        return true;
    }
    this->flush();
    this->copyBlocked = static_cast<bool>(this->writeWatch);
    return !this->copyBlocked;
}

void PqLink::endCopy(const std::optional<std::string>& error)
{
    if (this->copyPhase != CopyPhase::In || this->hasBroken)
        return;
    this->copyPhase = CopyPhase::Ending;
    if (PQputCopyEnd(this->connection.get(), error ? error->c_str() : nullptr) != 1) {
        this->endLater();
        return;
    }
    this->flush();
}

void PqLink::readCopy()
{
    const auto living = this->alive;
    while (*living && this->sink && !this->readingPaused && this->copyPhase != CopyPhase::None && this->copyPhase != CopyPhase::In) {
        if (this->copyPhase == CopyPhase::Out) {
            if (!this->takeCopyOut())
                return;
            continue;
        }
        if (PQisBusy(this->connection.get()) == 1)
            return;
        const internal::ResultHandle result(PQgetResult(this->connection.get()));
        if (result)
            this->takeCopyResult(*result);
        else
            this->finishCopy();
    }
}

bool PqLink::takeCopyOut()
{
    char* buffer = nullptr;
    const auto length = PQgetCopyData(this->connection.get(), &buffer, 1);
    const std::unique_ptr<char, CopyBufferCloser> held(buffer);
    if (length == 0)
        return false;
    if (length < 0) {
        this->copyPhase = CopyPhase::Ending;
        return true;
    }
    this->sink->onCopyData(0, { buffer, static_cast<std::size_t>(length) });
    return true;
}

void PqLink::takeCopyResult(PGresult& result)
{
    const auto format = static_cast<std::int16_t>(PQbinaryTuples(&result));
    switch (PQresultStatus(&result)) {
    case PGRES_COPY_IN:
        this->copyPhase = CopyPhase::In;
        this->copiedIn = true;
        this->sink->onCopyIn(0, readCopyFormats(result), format);
        break;
    case PGRES_COPY_OUT:
        this->copyPhase = CopyPhase::Out;
        this->sink->onCopyOut(0, readCopyFormats(result), format);
        break;
    default:
        static_cast<void>(this->takeResult(result));
        break;
    }
}

void PqLink::finishCopy()
{
    this->copyPhase = CopyPhase::None;
    const bool hasCommitted = this->copiedIn && this->heldTag;
    this->releaseCompletion();
    this->kinds.clear();
    this->end.transaction = internal::readTransaction(this->connection.get());
    if (PQenterPipelineMode(this->connection.get()) != 1) {
        this->endLater();
        return;
    }
    if (!hasCommitted || this->end.transaction != pgwire::TransactionStatus::Idle) {
        this->endBatch(false);
        return;
    }
    this->inPosition = true;
    this->syncsLeft = 1;
    if (!this->sendPositionQuery()) {
        this->endLater();
        return;
    }
    this->beginQuery();
    this->flush();
}

}
