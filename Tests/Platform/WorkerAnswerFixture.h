#pragma once

#include "RawWorker.h"
#include "RelayEntryFixture.h"

#include <string>

namespace Nutmegrill {

/// Plays answers of one worker after the other and collects what callers got instead of what they
/// should, so that one run shows all cases of a test.
class WorkerAnswerFixture : public RelayEntryFixture
{
protected:
    /// Adds a worker of \a service to the store and returns its key.
    template <typename Worker>
    std::string add(const Worker &worker, const std::string &service)
    {
        const std::string key = "servers/i-" + std::to_string(++this->servers);
        this->store->put(key, worker.record(service));
        return key;
    }

    void remove(const std::string &key, const std::string &record)
    {
        this->store->put(key, draining(record));
    }

    void expect(bool isRight, const std::string &name, const Answer &answer)
    {
        if (!isRight)
            this->problems += "\n" + name + ": status " + std::to_string(answer.status) + ", "
                              + std::to_string(answer.body.size()) + " bytes"
                              + (answer.isWhole ? ", whole" : "");
    }

    /// Sends a request to a worker that answers with \a bytes, which are no answer.
    void expectNoAnswer(const std::string &name, const std::string &bytes,
                        const std::string &service = "p", const std::string &target = "/r/1",
                        RawWorker::End end = RawWorker::End::Close)
    {
        RawWorker worker(*this->loop, bytes, end);
        const std::string key = this->add(worker, service);
        Answer answer;
        this->start(target, "k", {}, answer);
        this->loop->runUntil([&] { return worker.requests > 0; }, TestTimeout);
        // No other server and no later answer of this one.
        this->remove(key, worker.record(service));
        this->loop->runUntil([&] { return answer.isOver; }, TestTimeout);
        this->expect(worker.requests == 1 && answer.status == 502
                             && answer.head.find("Response-Seal") == nullptr,
                     name, answer);
    }

    /// Sends a request to a worker that answers with \a bytes, which are a whole answer.
    void expectAnswer(const std::string &name, const std::string &bytes, int status,
                      const std::string &body, RawWorker::End end)
    {
        RawWorker worker(*this->loop, bytes, end);
        const std::string key = this->add(worker, "p");
        const Answer answer = this->send("/r/1", "k");
        this->expect(answer.isWhole && answer.status == status && answer.body == body, name,
                     answer);
        this->remove(key, worker.record("p"));
    }

    void assertNoProblems() { CPPUNIT_ASSERT_EQUAL(std::string(), this->problems); }

    /// Fields and body of a whole answer, without its status line.
    static inline const std::string plainTail =
            "\r\nAttempt-Id: a1\r\nResponse-Seal: seal-raw\r\nContent-Length: 4\r\n\r\ndone";

private:
    int servers = 0;
    std::string problems;
};

} // namespace Nutmegrill
