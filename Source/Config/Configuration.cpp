#include "Config/Configuration.h"

#include <algorithm>

namespace Nutmegrill {

namespace {

template <typename Row, typename Matches>
const Row *findRow(const std::vector<Row> &rows, Matches matches)
{
    const auto found = std::find_if(rows.begin(), rows.end(), matches);
    return found == rows.end() ? nullptr : &*found;
}

} // namespace

const ServiceDeclaration *Configuration::findService(std::string_view name) const
{
    return findRow(this->services, [name](const auto &row) { return row.name == name; });
}

const ServiceDeclaration *Configuration::findModel(std::string_view model) const
{
    return findRow(this->services, [model](const auto &row) {
        return row.kind == ServiceDeclaration::Kind::Model && row.model == model;
    });
}

const ClientAccount *Configuration::findAccount(std::string_view name) const
{
    return findRow(this->clientAccounts, [name](const auto &row) { return row.name == name; });
}

const ClientAccount *Configuration::findAccountByKeyHash(std::string_view keyHash) const
{
    return findRow(this->clientAccounts, [keyHash](const auto &row) {
        const auto &further = row.furtherKeyHashes;
        return row.keyHash == keyHash
               || std::find(further.begin(), further.end(), keyHash) != further.end();
    });
}

const FailureDomainState *Configuration::findFailureDomain(std::string_view name) const
{
    for (const Place &place : this->places) {
        const auto matches = [name](const auto &row) { return row.name == name; };
        if (const auto *domain = findRow(place.failureDomains, matches))
            return domain;
    }
    return nullptr;
}

} // namespace Nutmegrill
