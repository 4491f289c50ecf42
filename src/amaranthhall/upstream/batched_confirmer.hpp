#pragma once

#include "amaranthhall/group/group_source.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/registry.hpp"
#include "amaranthhall/kernel/service.hpp"
#include "amaranthhall/upstream/confirm_state.hpp"
#include "amaranthhall/upstream/control_runner.hpp"
#include "amaranthhall/upstream/group_pulse.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace amaranthhall::upstream {

/// @brief Confirms writes by polls that each cover all writes of one writer so far.
class BatchedConfirmer final : public kernel::Service, public Confirmer {
public:
    using Done = std::function<void(Confirmation)>;

    BatchedConfirmer(kernel::Loop& loop, kernel::Registry& registry, std::string zone);
    ~BatchedConfirmer() override;

    [[nodiscard]] std::string_view name() const noexcept override { return "confirm"; }
    void start() override;
    void confirm(const group::UpstreamId& writer, group::LogPoint point, Time deadline, Done done) override;
    void confirmTerm(const group::UpstreamId& writer, group::Term term, Time deadline, Done done) override;

private:
    struct Writer;
    struct TermCheck;

    Writer& findWriter(const group::UpstreamId& id);
    void refreshReplicas(Writer& writer);
    void advance(Writer& writer);
    void poll(Writer& writer, const ConfirmPoll& poll);
    void settle(Writer& writer, const std::vector<ConfirmOutcome>& outcomes);
    [[nodiscard]] std::vector<Writer*> listWaiting() const;
    [[nodiscard]] bool isSuperseded(const Writer& writer) const;
    void tick();
    void expireChecks(Time now);
    void takeViews();
    bool judge(TermCheck& check, std::span<const PulseAnswer> answers);

    kernel::Loop& loop;
    kernel::Registry& registry;
    std::string zone;
    group::GroupSource* groups { nullptr };
    ControlRunner* runner { nullptr };
    std::uint64_t lastId { 0 };
    std::unordered_map<group::UpstreamId, std::unique_ptr<Writer>> writers;
    std::unordered_map<group::GroupId, std::unique_ptr<GroupPulse>> pulses;
    std::vector<std::shared_ptr<TermCheck>> checks;
    kernel::Registration timer;
    std::shared_ptr<bool> alive;
};

}
