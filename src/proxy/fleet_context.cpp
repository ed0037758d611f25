#include "fleet_context.h"

#include <cyclamendrift/core/random_duration.h>

#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

namespace cyclamendrift {

FleetContext::FleetContext(FleetOptions given)
    : options(std::move(given))
    , random(options.randomSeed)
{
    this->process = this->random();
}

Duration FleetContext::jittered(Duration mean) { return cyclamendrift::jittered(mean, this->random); }

asio::awaitable<void> FleetContext::sleep(Duration duration)
{
    asio::steady_timer gate { this->options.executor, asio::steady_timer::time_point::max() };
    const auto subscription = this->options.timers.after(duration, [&gate](Instant) { gate.cancel(); });
    std::error_code cancelled;
    co_await gate.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

SiblingAddress addressOf(const MemberRecord& member)
{
    return { .vm = member.vm, .host = member.host, .port = member.port };
}

wire::Member toWire(const MemberRecord& member)
{
    wire::Member message;
    message.set_vm(member.vm.string());
    message.set_availability_zone(member.zone.string());
    message.set_host(member.host);
    message.set_port(member.port);
    message.set_process(member.process);
    message.set_incarnation(member.incarnation);
    message.set_state(static_cast<wire::MemberState>(member.state));
    return message;
}

MemberRecord fromWire(const wire::Member& message)
{
    const auto state
        = wire::MemberState_IsValid(message.state()) ? message.state() : wire::MEMBER_STATE_SUSPECT;
    return { .vm = VmName { message.vm() },
        .zone = ZoneName { message.availability_zone() },
        .host = message.host(),
        .port = static_cast<std::uint16_t>(message.port()),
        .process = message.process(),
        .incarnation = message.incarnation(),
        .state = static_cast<MemberState>(state) };
}

} // namespace cyclamendrift
