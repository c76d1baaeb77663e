#pragma once

namespace goldcrestcroft {

/** \brief From now on, a signal that ends this process without being handled,
 * or an exception that nothing catches, is named in a last line on standard
 * error. The process then ends as it would without that line. */
auto ReportAbnormalEnds() -> void;

} // namespace goldcrestcroft
