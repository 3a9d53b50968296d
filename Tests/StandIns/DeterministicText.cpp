#include "StandIns/DeterministicText.h"
#include "Core/Hash.h"

namespace Nutmegrill {

std::string nextToken(const std::string &text)
{
    static constexpr char Consonants[] = "bdfghjklmnprstvz";
    static constexpr char Vowels[] = "aeiou";
    std::uint64_t bits = hash64(text);
    const int syllables = 2 + static_cast<int>(bits % 2);
    std::string word;
    for (int count = 0; count < syllables; ++count) {
        bits /= 2;
        word += Consonants[bits % 16];
        bits /= 16;
        word += Vowels[bits % 5];
        bits /= 5;
    }
    return word + ' ';
}

std::string expectedAnswer(const std::string &prompt, std::uint64_t count)
{
    std::string text = prompt;
    for (std::uint64_t token = 0; token < count; ++token)
        text += nextToken(text);
    return text.substr(prompt.size());
}

std::uint64_t countTokens(const std::string &text)
{
    std::uint64_t words = 0;
    bool inWord = false;
    for (const char letter : text) {
        const bool blank = letter == ' ' || letter == '\n' || letter == '\t';
        if (!blank && !inWord)
            ++words;
        inWord = !blank;
    }
    return words;
}

} // namespace Nutmegrill
