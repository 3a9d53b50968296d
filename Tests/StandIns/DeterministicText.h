#pragma once

#include <cstdint>
#include <string>

namespace Nutmegrill {

/// Token that follows \a text: a word and a space. It depends on the whole text and on nothing
/// else, as greedy decoding does, so a continued answer ends as an unbroken one would have.
std::string nextToken(const std::string &text);

/// The \a count tokens that follow \a prompt.
std::string expectedAnswer(const std::string &prompt, std::uint64_t count);

/// Number of words in \a text, which is what the stand-in engine counts as tokens.
std::uint64_t countTokens(const std::string &text);

} // namespace Nutmegrill
