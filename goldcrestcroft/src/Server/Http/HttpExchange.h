#pragma once

#include "HttpClient.h"

#include <curl/curl.h>

#include <string>
#include <vector>

namespace goldcrestcroft::internal {

/** \brief One HTTP exchange and its libcurl easy handle. */
struct Exchange
{
  ExchangeId id_ = 0;
  CURL* easy_ = nullptr;
  curl_slist* headers_ = nullptr;
  HttpRequest request_;
  HttpHandlers handlers_;
  HttpResponse response_;
  std::string received_;
  std::size_t bodySent_ = 0;
  /** Whether the lines that follow are fields of a head, not of a trailer. */
  bool inHead_ = false;
  /** Whether the head has a Transfer-Encoding. */
  bool hasTransferCoding_ = false;
  /** Content-Length of the head; empty if it has none. */
  std::string length_;
  /** Why the response is invalid; empty if it is not. */
  std::string defect_;
  /** Whether libcurl has read any of the body. */
  bool bodyStarted_ = false;
  TimePoint lastActivityAt_;
  /** List to add id_ to when bytes for onBytes_ arrive. */
  std::vector<ExchangeId>* withNewBytes_ = nullptr;

  /** \brief Whether the server may have run the request: part of the body was
   * read for sending, or the server has responded. */
  [[nodiscard]] auto IsSent() const -> bool
  {
    return bodyStarted_ || !defect_.empty();
  }
};

/** \brief libcurl callbacks; aUser points to the Exchange. OnHeader ends the
 * exchange at an invalid line and sets defect_. */
auto OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aUser)
  -> std::size_t;
auto OnWrite(char* aData, std::size_t aSize, std::size_t aCount, void* aUser)
  -> std::size_t;
auto OnRead(char* aBuffer, std::size_t aSize, std::size_t aCount, void* aUser)
  -> std::size_t;

/** \brief Why the exchange failed; empty if it did not. */
auto ErrorOf(const Exchange& aExchange, CURLcode aCode) -> std::string;

} // namespace goldcrestcroft::internal
