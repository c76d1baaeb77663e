#pragma once

#include <string>
#include <vector>

namespace standins {

/** \brief Lower-case words of a text. */
auto Words(const std::string& aText) -> std::vector<std::string>;

/** \brief A bag-of-words embedding of unit length. */
auto Embed(const std::string& aText) -> std::vector<double>;

auto Cosine(const std::vector<double>& aLeft, const std::vector<double>& aRight)
  -> double;

/** \brief Share of the query's words that the document has. */
auto Overlap(const std::string& aQuery, const std::string& aDocument) -> double;

/** \brief What the engine says to a prompt, word by word: first a digest of the
 * query alone, so that an answer proves whose request it was. */
auto Complete(const std::string& aPrompt, std::size_t aMaxTokens)
  -> std::vector<std::string>;

/** \brief The documents that the retriever knows. */
auto Corpus() -> const std::vector<std::string>&;

} // namespace standins
