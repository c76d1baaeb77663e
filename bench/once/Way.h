#pragma once

namespace bench {

/** \brief Where a non-idempotent request's insert is made. */
enum class Way
{
  /** One transaction a request. */
  Single,
  /** Batches at the host that received the request. */
  Receiving,
  /** Batches at the key's home host, one more hop away. */
  Home,
  /** No insert: the key is bound to one incarnation of one host. */
  Bound
};

} // namespace bench
