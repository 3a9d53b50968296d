#pragma once

#include <cstdint>
#include <string>

namespace Nutmegrill {

/// Returns the token that follows \a text: a word and a space. Like greedy decoding, it depends on
/// the whole text only, so an answer resumed on another engine equals an uninterrupted one.
std::string nextToken(const std::string &text);

/// Returns the \a count tokens that follow \a prompt.
std::string expectedAnswer(const std::string &prompt, std::uint64_t count);

/// Returns the number of words in \a text; the stand-in engine counts a word as a token.
std::uint64_t countTokens(const std::string &text);

} // namespace Nutmegrill
