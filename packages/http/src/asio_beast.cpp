// Compiles the separately compiled parts of Boost.Asio and Boost.Beast; include this in one translation unit
// only.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
