#include "Programs/ProcessStart.h"

#include <chrono>
#include <sys/sysinfo.h>
#include <utility>

namespace Nutmegrill {

ProcessStart::ProcessStart(std::string program, std::string summary, const std::string &callers)
    : program(std::move(program)), declaredSettings(this->program, std::move(summary))
{
    using Format = Settings::Format;
    this->declaredSettings.require("name", Format::Text, "name of this instance");
    this->declaredSettings.require("failure-domain", Format::Text,
                                   "failure domain of this instance");
    this->declaredSettings.require("listen", Format::Address, "address for " + callers);
    this->declaredSettings.require("control-listen", Format::Address, "address for operators");
    this->declaredSettings.require("store", Format::Address, "address of the key-value service");
    this->declaredSettings.require("deployment-key", Format::Text, "key shared by the deployment");
}

std::uint64_t ProcessStart::systemClockTicks()
{
    return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
}

std::uint64_t ProcessStart::instanceMemory()
{
    struct sysinfo system
    {};
    if (::sysinfo(&system) != 0)
        return 0;
    return static_cast<std::uint64_t>(system.totalram) * system.mem_unit;
}

} // namespace Nutmegrill
