// Compiles the implementation of Boost.Asio and Boost.Beast, which only one translation unit may include.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
