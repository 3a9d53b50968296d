#pragma once

#include "Entry/EntryNode.h"

#include <cstdint>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Runs an entry node from a text script, one event a line:
///   <milliseconds> <verb> <arguments> <name>=<value>...
/// Each line is followed by a tick. EntryDriver.cpp describes the verbs.
class EntryDriver
{
public:
    explicit EntryDriver(EntrySettings settings = defaultSettings());

    static EntrySettings defaultSettings();
    /// Three failure domains, a model service, a plain service and two client accounts.
    static Configuration configuration(std::uint64_t version);

    /// Runs one line and returns the commands as trace lines.
    std::vector<std::string> run(const std::string &line);
    /// Runs several lines and returns all trace lines.
    std::vector<std::string> runAll(const std::vector<std::string> &lines);
    static std::string describe(const EntryCommand::Any &command);

    EntryNode node;

private:
    class Line;
    using Verb = void (EntryDriver::*)(Line &line);

    void handle(const EntryEvent::Any &event);
    void send(const std::string &agent, const PeerMessage::Any &message);
    void answer(Line &line, const WorkMessage::Any &message);

    void tick(Line &line);
    void config(Line &line);
    void storeDown(Line &line);
    void instances(Line &line);
    void up(Line &line);
    void open(Line &line);
    void down(Line &line);
    void grant(Line &line);
    void status(Line &line);
    void offer(Line &line);
    void crash(Line &line);
    void takeOut(Line &line);
    void request(Line &line);
    void head(Line &line);
    void event(Line &line);
    void end(Line &line);
    void failure(Line &line);
    void closed(Line &line);
    void lost(Line &line);
    void buffered(Line &line);
    void gone(Line &line);
    void stop(Line &line);
    void entries(Line &line);

    static const std::map<std::string, Verb> verbs;

    Instant now;
    EntryCommand::List commands;
    std::vector<std::string> extraTrace;
};

/// Counts the lines that contain \a text.
int countLines(const std::vector<std::string> &lines, const std::string &text);

} // namespace Nutmegrill
