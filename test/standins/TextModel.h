#pragma once

#include <string>
#include <vector>

namespace standins {

/** \brief Returns the words of a text in lower case. */
auto Words(const std::string& aText) -> std::vector<std::string>;

/** \brief Returns a bag-of-words embedding of unit length. */
auto Embed(const std::string& aText) -> std::vector<double>;

auto Cosine(const std::vector<double>& aLeft, const std::vector<double>& aRight)
  -> double;

/** \brief Returns the share of the query's words that occur in the document. */
auto Overlap(const std::string& aQuery, const std::string& aDocument) -> double;

/** \brief Returns the completion of a prompt, one word per token. It begins
 * with a digest of the query alone, which proves to which request a response
 * belongs. */
auto Complete(const std::string& aPrompt, std::size_t aMaxTokens)
  -> std::vector<std::string>;

/** \brief Returns the documents that the retriever searches. */
auto Corpus() -> const std::vector<std::string>&;

} // namespace standins
