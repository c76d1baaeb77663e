#include "TextModel.h"

#include <goldcrestcroft/Core.h>

#include <cctype>
#include <cmath>
#include <set>

namespace standins {

namespace {

constexpr std::size_t kDimensions = 16;

} // namespace

auto Words(const std::string& aText) -> std::vector<std::string>
{
  std::vector<std::string> words;
  std::string word;
  for (const auto letter : aText + " ") {
    if (std::isalnum(static_cast<unsigned char>(letter)) != 0) {
      word +=
        static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    } else if (!word.empty()) {
      words.push_back(std::exchange(word, {}));
    }
  }
  return words;
}

auto Embed(const std::string& aText) -> std::vector<double>
{
  std::vector<double> vector(kDimensions, 0.0);
  for (const auto& word : Words(aText)) {
    vector[goldcrestcroft::Fingerprint(word) % kDimensions] += 1.0;
  }
  auto square = 0.0;
  for (const auto component : vector) {
    square += component * component;
  }
  for (auto& component : vector) {
    component /= std::max(1e-9, std::sqrt(square));
  }
  return vector;
}

auto Cosine(const std::vector<double>& aLeft, const std::vector<double>& aRight)
  -> double
{
  auto sum = 0.0;
  for (std::size_t i = 0; i < aLeft.size() && i < aRight.size(); ++i) {
    sum += aLeft[i] * aRight[i];
  }
  return sum;
}

auto Overlap(const std::string& aQuery, const std::string& aDocument) -> double
{
  const auto document = Words(aDocument);
  const std::set<std::string> known(document.begin(), document.end());
  const auto query = Words(aQuery);
  auto shared = 0.0;
  for (const auto& word : query) {
    shared += known.contains(word) ? 1.0 : 0.0;
  }
  return query.empty() ? 0.0 : shared / static_cast<double>(query.size());
}

auto Complete(const std::string& aPrompt, std::size_t aMaxTokens)
  -> std::vector<std::string>
{
  constexpr std::string_view kQuery = "Query: ";
  constexpr std::string_view kContext = "\n\nContext:\n";
  const auto start = aPrompt.find(kQuery) + kQuery.size();
  const auto end = aPrompt.rfind(kContext);
  const auto query = aPrompt.substr(start, end - start);
  std::vector<std::string> tokens{
    "digest", goldcrestcroft::ToHex(goldcrestcroft::Fingerprint(query))
  };
  for (const auto& word : Words(aPrompt)) {
    tokens.push_back(word);
  }
  tokens.resize(std::min(tokens.size(), std::max<std::size_t>(2, aMaxTokens)));
  return tokens;
}

auto Corpus() -> const std::vector<std::string>&
{
  static const std::vector<std::string> kDocuments{
    "A project brief names the client, the rooms, the budget and the date.",
    "Payouts are made on Fridays once the client has accepted the work.",
    "A portfolio critique covers composition, colour, light and lettering.",
    "The gallery shows accepted work for ninety days.",
    "Escrow holds the fee until both sides agree.",
    "A proposal closes at noon on its last day.",
    "Freelancers see a payout check within a minute.",
    "Ceramic tiles suit kitchens and baths.",
    "An elderly caller who speaks of a fall needs the duty nurse.",
    "Dizziness, a fall or no appetite are worry words.",
    "Volunteers call on Tuesday and Thursday afternoons.",
    "Notes of the last call help the next volunteer.",
    "Family updates go out on Sunday evening.",
    "A reminder is sent once, the day before the call.",
    "Loneliness eases with regular calls.",
    "The nurse alert desk answers at all hours.",
    "Medication questions go to the nurse, never to a volunteer.",
    "Garden stories make good openings for a call.",
    "The logo needs one colour and a monochrome form.",
    "Invoices carry the project number."
  };
  return kDocuments;
}

} // namespace standins
