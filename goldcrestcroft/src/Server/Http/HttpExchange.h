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
  /** Whether libcurl has read any of the body. */
  bool bodyStarted_ = false;
  TimePoint lastActivityAt_;
  /** List to add id_ to when bytes for onBytes_ arrive. */
  std::vector<ExchangeId>* withNewBytes_ = nullptr;
};

/** \brief libcurl callbacks; aUser points to the Exchange. */
auto OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aUser)
  -> std::size_t;
auto OnWrite(char* aData, std::size_t aSize, std::size_t aCount, void* aUser)
  -> std::size_t;
auto OnRead(char* aBuffer, std::size_t aSize, std::size_t aCount, void* aUser)
  -> std::size_t;

} // namespace goldcrestcroft::internal
