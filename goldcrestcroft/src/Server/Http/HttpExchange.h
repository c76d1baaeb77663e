#pragma once

#include "HttpClient.h"

#include <curl/curl.h>

#include <string>
#include <vector>

namespace goldcrestcroft::internal {

/** \brief One exchange with its easy handle. */
struct Exchange
{
  ExchangeId id_ = 0;
  CURL* easy_ = nullptr;
  curl_slist* headers_ = nullptr;
  HttpRequest request_;
  HttpHandlers handlers_;
  HttpReply reply_;
  std::string arrived_;
  std::size_t bodySent_ = 0;
  bool bodyTaken_ = false;
  TimePoint lastMove_;
  /** Where to note that bytes for onBytes_ have arrived. */
  std::vector<ExchangeId>* touched_ = nullptr;
};

/** \brief Callbacks of libcurl; aUser is the Exchange. */
auto OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aUser)
  -> std::size_t;
auto OnWrite(char* aData, std::size_t aSize, std::size_t aCount, void* aUser)
  -> std::size_t;
auto OnRead(char* aBuffer, std::size_t aSize, std::size_t aCount, void* aUser)
  -> std::size_t;

} // namespace goldcrestcroft::internal
