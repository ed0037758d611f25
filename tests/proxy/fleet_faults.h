#pragma once

#include "fleet_world.h"

#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace cyclamendrift::tests {

/// One fault of a random schedule, or its end.
struct Fault {
    enum class Kind : std::uint8_t {
        Cut,
        Isolate,
        IsolateWithStore,
        CutStore,
        StoreDown,
        LoseAnswers,
        Pause,
        Resume,
        Restart,
        Heal
    };

    Kind kind = Kind::Heal;
    std::size_t vm = 0;
    std::size_t other = 0;
    std::uint32_t waitMs = 0;
};

inline void showValue(const Fault& fault, std::ostream& out)
{
    out << "kind " << static_cast<int>(fault.kind) << " vm " << fault.vm << " other " << fault.other
        << " after " << fault.waitMs << " ms";
}

inline std::ostream& operator<<(std::ostream& out, const Fault& fault)
{
    showValue(fault, out);
    return out;
}

inline rc::Gen<Fault> anyFault(std::size_t vmCount)
{
    return rc::gen::build<Fault>(
        rc::gen::set(&Fault::kind,
            rc::gen::element(Fault::Kind::Cut, Fault::Kind::Isolate, Fault::Kind::IsolateWithStore,
                Fault::Kind::CutStore, Fault::Kind::StoreDown, Fault::Kind::LoseAnswers, Fault::Kind::Pause,
                Fault::Kind::Resume, Fault::Kind::Restart, Fault::Kind::Heal)),
        rc::gen::set(&Fault::vm, rc::gen::inRange<std::size_t>(0, vmCount)),
        rc::gen::set(&Fault::other, rc::gen::inRange<std::size_t>(0, vmCount)),
        rc::gen::set(&Fault::waitMs, rc::gen::inRange<std::uint32_t>(0, 4000)));
}

/// Applies faults to a fleet and heals them.
class FaultInjector {
public:
    explicit FaultInjector(VirtualFleet& world)
        : world(world)
    {
    }

    void apply(const Fault& fault)
    {
        switch (fault.kind) {
        case Fault::Kind::Cut:
            if (fault.vm != fault.other)
                this->world.cut(fault.vm, fault.other);
            break;
        case Fault::Kind::Isolate:
            this->world.isolate({ fault.vm, fault.other }, false);
            break;
        case Fault::Kind::IsolateWithStore:
            this->world.isolate({ fault.vm, fault.other }, true);
            break;
        case Fault::Kind::CutStore:
            this->world.cutStore(fault.vm, true);
            break;
        case Fault::Kind::StoreDown:
            this->world.setStoreDown(true);
            break;
        case Fault::Kind::LoseAnswers:
            this->world.platform().lostAnswers = 0.5;
            break;
        case Fault::Kind::Pause:
            this->world.process(fault.vm)->pause();
            break;
        case Fault::Kind::Resume:
            this->world.process(fault.vm)->resume();
            break;
        case Fault::Kind::Restart:
            this->world.restart(fault.vm);
            break;
        case Fault::Kind::Heal:
            this->world.healAll();
            break;
        }
    }

    void healAll()
    {
        this->world.healAll();
        for (std::size_t vm = 0; vm < this->world.size(); ++vm)
            this->world.process(vm)->resume();
    }

private:
    VirtualFleet& world;
};

} // namespace cyclamendrift::tests
