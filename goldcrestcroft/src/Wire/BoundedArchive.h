#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace goldcrestcroft::internal {

/** \brief Maximum length of a string and of a sequence in a message.
 *
 * cereal allocates the number of elements given by a length field before it
 * checks that they are present. A length from the network must therefore not
 * reach cereal's own container serialization. */
inline constexpr std::uint16_t kMaxStringBytes = 32'768;
inline constexpr std::uint16_t kMaxItems = 512;

/** \brief Thrown by load if a length exceeds its bound. */
struct LengthExceeded : std::runtime_error
{
  LengthExceeded()
    : std::runtime_error("a length field exceeds its bound")
  {
  }
};

/** \brief Serializes a string with a checked length. */
template<typename String>
struct BoundedString
{
  String& text_;

  template<typename Archive>
  auto save(Archive& aArchive) const -> void
  {
    const auto size = static_cast<std::uint16_t>(text_.size());
    aArchive(size);
    aArchive(cereal::binary_data(text_.data(), text_.size()));
  }

  template<typename Archive>
  auto load(Archive& aArchive) -> void
  {
    std::uint16_t size = 0;
    aArchive(size);
    if (size > kMaxStringBytes) {
      throw LengthExceeded();
    }
    text_.resize(size);
    aArchive(cereal::binary_data(text_.data(), text_.size()));
  }
};

/** \brief Serializes a sequence with a checked length. The ArchiveItem functor
 * serializes one item. */
template<typename Sequence, typename ArchiveItem>
struct BoundedSequence
{
  Sequence& items_;
  ArchiveItem archiveItem_;

  template<typename Archive>
  auto save(Archive& aArchive) const -> void
  {
    aArchive(static_cast<std::uint16_t>(items_.size()));
    for (auto& item : items_) {
      archiveItem_(aArchive, item);
    }
  }

  template<typename Archive>
  auto load(Archive& aArchive) -> void
  {
    std::uint16_t size = 0;
    aArchive(size);
    if (size > kMaxItems) {
      throw LengthExceeded();
    }
    items_.clear();
    for (std::uint16_t i = 0; i < size; ++i) {
      items_.emplace_back();
      archiveItem_(aArchive, items_.back());
    }
  }
};

template<typename String>
auto Bounded(String& aText) -> BoundedString<String>
{
  return { aText };
}

template<typename Sequence, typename ArchiveItem>
auto Bounded(Sequence& aItems, ArchiveItem aArchiveItem)
  -> BoundedSequence<Sequence, ArchiveItem>
{
  return { aItems, std::move(aArchiveItem) };
}

} // namespace goldcrestcroft::internal
