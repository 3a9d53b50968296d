#include "Config/DeclarationChecker.h"

#include "Config/NearestName.h"
#include "Config/ObjectReader.h"

#include <algorithm>

namespace Nutmegrill {

using Code = DeclarationError::Code;

namespace {

std::string locationOf(const DeclaredObject &object)
{
    return object.file + ":" + std::to_string(object.line);
}

template <typename Rows>
auto rowsByName(const Rows &declared)
{
    std::vector<decltype(Rows::value_type::row)> rows;
    rows.reserve(declared.size());
    for (const auto &entry : declared)
        rows.push_back(entry.row);
    std::sort(rows.begin(), rows.end(),
              [](const auto &left, const auto &right) { return left.name < right.name; });
    return rows;
}

template <typename Rows>
std::vector<std::string> namesOf(const Rows &declared)
{
    std::vector<std::string> names;
    names.reserve(declared.size());
    for (const auto &entry : declared)
        names.push_back(entry.row.name);
    return names;
}

} // namespace

DeclarationChecker::Result DeclarationChecker::check(const Declarations &declarations)
{
    DeclarationChecker checker(declarations);
    checker.errors = declarations.errors();
    checker.readObjects();
    checker.checkDuplicates();
    checker.checkFailureDomainNames();
    checker.checkServices();
    checker.checkModelGroups();
    checker.checkClientAccounts();
    checker.checkRoutes();
    return checker.finish();
}

void DeclarationChecker::readObjects()
{
    ObjectReader reader(this->errors);
    for (const DeclaredObject &object : this->declarations.objects()) {
        std::string kind = object.kind;
        const auto &kinds = ObjectReader::kinds();
        if (std::find(kinds.begin(), kinds.end(), kind) == kinds.end()) {
            // Reads the object as the kind with the most similar name, so that its other errors are
            // reported too and references to it are not reported as dangling.
            kind = nearestName(object.kind, kinds);
            this->report(Code::UnknownKind, object, "kind", "",
                         object.kind.empty() ? "field `kind` is missing"
                                             : "unknown kind `" + object.kind + "`",
                         kind.empty()
                                 ? "write one of Place, Service, ModelGroup, ClientAccount, Route"
                                 : "did you mean `" + kind + "`?");
        }
        if (kind == "Place")
            this->places.push_back({reader.readPlace(object), &object});
        else if (kind == "Service")
            this->services.push_back({reader.readService(object), &object});
        else if (kind == "ModelGroup")
            this->modelGroups.push_back({reader.readModelGroup(object), &object});
        else if (kind == "ClientAccount")
            this->clientAccounts.push_back({reader.readClientAccount(object), &object});
        else if (kind == "Route")
            this->routes.push_back({reader.readRoute(object), &object});
    }
    if (this->declarations.objects().empty() && this->errors.empty())
        this->errors.push_back({Code::NoObjects, "", 0, "", "the declarations hold no object",
                                "name at least one file with objects"});
}

void DeclarationChecker::checkDuplicates()
{
    std::map<std::pair<std::string, std::string>, const DeclaredObject *> seen;
    for (const DeclaredObject &object : this->declarations.objects()) {
        if (object.name.empty())
            continue;
        const auto [found, isNew] = seen.try_emplace({object.kind, object.name}, &object);
        if (!isNew)
            this->report(Code::DuplicateObject, object, "name", "",
                         "already declared at " + locationOf(*found->second),
                         "rename or remove one of the two");
    }
}

void DeclarationChecker::checkFailureDomainNames()
{
    std::map<std::string, const DeclaredObject *> seen;
    for (const auto &[place, object] : this->places) {
        for (const FailureDomainState &domain : place.failureDomains) {
            const auto [found, isNew] = seen.try_emplace(domain.name, object);
            if (!isNew && !domain.name.empty())
                this->report(Code::DuplicateValue, *object, "failureDomains", domain.name,
                             "failure domain `" + domain.name + "` already belongs to "
                                     + found->second->label() + " at " + locationOf(*found->second),
                             "rename or remove one of the two");
        }
    }
}

void DeclarationChecker::checkServices()
{
    std::vector<std::string> domains;
    for (const auto &[place, object] : this->places) {
        for (const FailureDomainState &domain : place.failureDomains)
            domains.push_back(domain.name);
    }
    std::map<std::string, const DeclaredObject *> models;
    for (const auto &[service, object] : this->services) {
        for (const std::string &domain : service.failureDomains)
            this->checkReference(*object, "failureDomains", "failure domain", domain, domains);
        if (service.model.empty())
            continue;
        const auto [found, isNew] = models.try_emplace(service.model, object);
        if (!isNew)
            this->report(Code::DuplicateValue, *object, "model", "",
                         "model `" + service.model + "` already belongs to "
                                 + found->second->label() + " at " + locationOf(*found->second),
                         "give each service its own model name");
    }
}

void DeclarationChecker::checkModelGroups()
{
    for (const auto &[group, object] : this->modelGroups) {
        if (group.service.empty())
            continue;
        this->checkReference(*object, "service", "service", group.service, namesOf(this->services));
        const auto service = std::find_if(
                this->services.begin(), this->services.end(),
                [&name = group.service](const auto &row) { return row.row.name == name; });
        if (service == this->services.end())
            continue;
        if (service->row.kind != ServiceDeclaration::Kind::Model)
            this->report(Code::Contradiction, *object, "service", "",
                         "service `" + group.service + "` is not a model service",
                         "name a service with `type: model`");
        const auto &domains = service->row.failureDomains;
        const bool has =
                std::find(domains.begin(), domains.end(), group.failureDomain) != domains.end();
        if (!has && !group.failureDomain.empty())
            this->report(Code::DanglingReference, *object, "failureDomain", "",
                         "service `" + group.service + "` does not run in failure domain `"
                                 + group.failureDomain + "`",
                         "name one of its failure domains, or add this one to the service");
    }
}

void DeclarationChecker::checkClientAccounts()
{
    std::map<std::string, const DeclaredObject *> hashes;
    const std::vector<std::string> serviceNames = namesOf(this->services);
    for (const auto &[account, object] : this->clientAccounts) {
        for (const std::string &service : account.services)
            this->checkReference(*object, "services", "service", service, serviceNames);
        const auto checkHash = [&, object = object](const std::string &field,
                                                    const std::string &hash) {
            if (hash.empty())
                return;
            const auto [found, isNew] = hashes.try_emplace(hash, object);
            if (!isNew)
                this->report(Code::DuplicateValue, *object, field, "",
                             "the key hash already belongs to " + found->second->label() + " at "
                                     + locationOf(*found->second),
                             "give each client account its own key");
        };
        checkHash("keyHash", account.keyHash);
        for (const std::string &hash : account.furtherKeyHashes)
            checkHash("furtherKeyHashes", hash);
    }
}

void DeclarationChecker::checkRoutes()
{
    std::map<std::pair<std::string, std::string>, const DeclaredObject *> seen;
    for (const auto &[route, object] : this->routes) {
        for (const Route::Target &target : route.targets)
            this->checkReference(*object, "services", "service", target.service,
                                 namesOf(this->services));
        if (route.host.empty() || route.pathPrefix.empty())
            continue;
        const auto [found, isNew] = seen.try_emplace({route.host, route.pathPrefix}, object);
        if (!isNew)
            this->report(Code::DuplicateValue, *object, "pathPrefix", "",
                         "prefix `" + route.pathPrefix + "` of host `" + route.host
                                 + "` already belongs to " + found->second->label() + " at "
                                 + locationOf(*found->second),
                         "give each route its own prefix");
    }
}

void DeclarationChecker::checkReference(const DeclaredObject &object, const std::string &field,
                                        const std::string &what, const std::string &name,
                                        const std::vector<std::string> &candidates)
{
    const bool found = std::find(candidates.begin(), candidates.end(), name) != candidates.end();
    if (found || this->declarations.isIncomplete())
        return;
    const std::string near = nearestName(name, candidates);
    this->report(
            Code::DanglingReference, object, field, name, "there is no " + what + " `" + name + "`",
            near.empty() ? "declare it, or remove the reference" : "did you mean `" + near + "`?");
}

void DeclarationChecker::report(Code code, const DeclaredObject &object, const std::string &field,
                                const std::string &item, std::string message, std::string fix)
{
    this->errors.push_back({code, object.file, object.lineOf(field, item), object.label(),
                            std::move(message), std::move(fix)});
}

DeclarationChecker::Result DeclarationChecker::finish()
{
    Result result;
    result.errors = std::move(this->errors);
    std::sort(result.errors.begin(), result.errors.end());
    result.errors.erase(std::unique(result.errors.begin(), result.errors.end()),
                        result.errors.end());
    if (!result.errors.empty())
        return result;
    Configuration configuration;
    configuration.places = rowsByName(this->places);
    configuration.services = rowsByName(this->services);
    configuration.modelGroups = rowsByName(this->modelGroups);
    configuration.clientAccounts = rowsByName(this->clientAccounts);
    configuration.routes = rowsByName(this->routes);
    result.configuration = std::move(configuration);
    return result;
}

} // namespace Nutmegrill
