#include "Entry/RequestTable.h"

namespace Nutmegrill {

RequestTable::Row *RequestTable::find(CallerId caller)
{
    const auto found = this->rows.find(caller);
    return found == this->rows.end() ? nullptr : &found->second;
}

RequestTable::Row *RequestTable::findByWork(WorkId work)
{
    const auto found = this->works.find(work);
    return found == this->works.end() ? nullptr : this->find(found->second);
}

RequestTable::WorkId RequestTable::startWork(Row &row)
{
    this->endWork(row);
    row.work = ++this->lastWork;
    this->works[row.work] = row.caller;
    return row.work;
}

void RequestTable::endWork(Row &row)
{
    this->works.erase(row.work);
    row.work = 0;
}

void RequestTable::erase(CallerId caller)
{
    if (Row *row = this->find(caller))
        this->works.erase(row->work);
    this->rows.erase(caller);
}

} // namespace Nutmegrill
