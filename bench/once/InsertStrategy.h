#pragma once

namespace bench {

/** \brief Where the insert for a non-idempotent request is performed. */
enum class InsertStrategy
{
  /** One transaction per request. */
  Single,
  /** Batched at the host that received the request. */
  Receiving,
  /** Batched at the key's home host, which costs one more hop. */
  Home,
  /** No insert: the key is bound to one incarnation of one host. */
  Bound
};

} // namespace bench
