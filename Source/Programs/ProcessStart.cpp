#include "Programs/ProcessStart.h"

#include <chrono>
#include <utility>

namespace Nutmegrill {

ProcessStart::ProcessStart(std::string program, std::string summary, const std::string &callers)
    : program(std::move(program)), declared(this->program, std::move(summary))
{
    using Format = Settings::Format;
    this->declared.require("name", Format::Text, "name of this instance");
    this->declared.require("failure-domain", Format::Text, "failure domain of this instance");
    this->declared.require("listen", Format::Address, "address for " + callers);
    this->declared.require("control-listen", Format::Address, "address for operators");
    this->declared.require("store", Format::Address, "address of the key-value service");
    this->declared.require("deployment-key", Format::Text, "key shared by the deployment");
}

std::uint64_t ProcessStart::timeOfDay()
{
    return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
}

} // namespace Nutmegrill
